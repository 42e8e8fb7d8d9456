/** Tests of the task that keeps the serving confirmation of a server valid. */
import {ServerState} from '@ragworthall/contracts';
import test from 'ava';
import {
  addressOf,
  callAt,
  neverAborted,
  serviceConfig,
  serviceWithTime,
} from '../testing/calls.js';
import {answered, FakeBackend} from '../testing/fake_backend.js';
import {FakeTime} from '../testing/fake_time.js';
import {LeavingSource} from './leaving_status.js';
import {ProbePermits} from './probe_permit.js';
import {type ProbeReport, type ProberOptions} from './prober.js';
import {ServiceProbers} from './service_probers.js';

interface FixtureOptions {
  readonly seats?: number;
  readonly servers?: number;
  readonly peer?: () => ProbeReport | undefined;
  readonly mayProbe?: () => boolean;
}

function fixture({
  seats = 1,
  servers = 1,
  peer,
  mayProbe,
}: FixtureOptions = {}) {
  const time = new FakeTime();
  const service = serviceWithTime(time, serviceConfig(servers, 2), {
    servingConfirmation: {kind: 'required'},
  });
  const backend = new FakeBackend(time, () => ({
    delayMs: 10,
    attempt: answered(),
  }));
  let peerQueries = 0;
  const options: ProberOptions = {
    backend,
    clock: time,
    timers: time,
    mayProbe: mayProbe ?? (() => true),
    delegate: {
      probe: async () => {
        peerQueries += 1;
        return peer?.();
      },
    },
  };
  const permits = new ProbePermits({seats, startedAt: 0});
  const probers = new ServiceProbers(service, permits, options);
  const isUsable = () => service.backendServers[0]!.isUsable(time.now());
  return {
    time,
    service,
    backend,
    probers,
    isUsable,
    peerQueries: () => peerQueries,
  };
}

const SERVING_REPORT: ProbeReport = {
  load: {inFlight: 0, state: ServerState.Serving},
  ageMs: 5,
};

test('a configured server gets no call before its first serving confirmation', async t => {
  const {time, service, backend, probers} = fixture();
  await using owned = probers;
  const placing = Promise.resolve(
    service.place(callAt(0), new Set(), 0, neverAborted()),
  );
  t.false(service.backendServers[0]!.isUsable(0));
  await time.advance(599);
  t.is(backend.probes.length, 0, 'no probe before a whole interval has passed');
  await time.advance(50);
  t.is((await placing).kind, 'dispatch');
  t.deepEqual(backend.probes, [addressOf(0)]);
});

test('an idle server stays usable within the probe budget', async t => {
  const {time, backend, probers, isUsable} = fixture();
  await using owned = probers;
  await time.advance(1_000);
  let unusable = 0;
  for (let i = 0; i < 590; i++) {
    await time.advance(100);
    if (!isUsable()) unusable += 1;
  }
  t.is(unusable, 0);
  t.true(backend.probes.length <= 60_000 / 600);
  t.true(backend.probes.length >= 60_000 / 3_000);
});

test('a server with traffic is not probed', async t => {
  const {time, service, backend, probers} = fixture();
  await using owned = probers;
  await time.advance(700);
  const server = service.backendServers[0]!;
  const {length} = backend.probes;
  for (let i = 0; i < 100; i++) {
    await time.advance(200);
    const now = time.now();
    server.recordReport({state: ServerState.Serving}, now - 10, now);
  }
  t.is(backend.probes.length, length);
});

test('a peer probes while the own permit does not allow it', async t => {
  const {time, backend, probers, isUsable, peerQueries} = fixture({
    seats: 7,
    peer: () => SERVING_REPORT,
  });
  await using owned = probers;
  await time.advance(10);
  t.true(isUsable());
  t.is(backend.probes.length, 0);
  await time.advance(60_000);
  t.true(isUsable());
  t.true(backend.probes.length <= Math.ceil(60_000 / 4_200));
  t.true(peerQueries() <= 60_000 / 2_000, `${peerQueries()} queries to peers`);
});

test('an instance without its seat does not use the permits of the seat', async t => {
  const {time, backend, probers, isUsable} = fixture({mayProbe: () => false});
  await using owned = probers;
  await time.advance(20_000);
  t.is(backend.probes.length, 0);
  t.false(isUsable());
  t.is(await probers.probeForPeer('s0'), undefined);
});

test('a leaving server is marked and becomes usable again when it serves', async t => {
  const {time, service, backend, probers, isUsable} = fixture();
  await using owned = probers;
  await time.advance(1_000);
  t.true(isUsable());
  backend.probeResult = {
    kind: 'answered',
    load: {state: ServerState.Draining},
  };
  await time.advance(3_000);
  t.true(service.backendServers[0]!.isLeaving());
  const {length} = backend.probes;
  await time.advance(9_000);
  t.true(
    backend.probes.length <= length + 1,
    'a leaving server is rarely probed',
  );
  backend.probeResult = SERVING_REPORT.load && {
    kind: 'answered',
    load: SERVING_REPORT.load,
  };
  await time.advance(21_000);
  t.true(isUsable());
});

test('a leaving mark of the platform holds until it is cleared', async t => {
  const {time, service, probers, isUsable} = fixture();
  await using owned = probers;
  await time.advance(1_000);
  const server = service.backendServers[0]!;
  service.markLeaving('s0', LeavingSource.Platform, time.now());
  await time.advance(30_000);
  t.false(isUsable());
  server.unmarkLeaving(LeavingSource.Platform);
  await time.advance(11_000);
  t.true(isUsable());
});

test('an answer sent before a leaving report is ignored', t => {
  const time = new FakeTime();
  const service = serviceWithTime(time, serviceConfig(1, 1), {
    servingConfirmation: {kind: 'required'},
  });
  const server = service.backendServers[0]!;
  server.recordReport({state: ServerState.Draining}, 95, 100);
  server.recordUnreachable(110);
  server.recordReport({state: ServerState.Serving}, 90, 120);
  t.false(server.isUsable(120), 'the answer is older than the leaving report');
  server.recordReport({state: ServerState.Serving}, 200, 210);
  t.true(server.isUsable(210), 'the answer came after a restart');
});
