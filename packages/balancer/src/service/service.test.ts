/** Tests of the queues of a service: order, floors, expiry and refusal. */
import {Rank, RANKS} from '@ragworthall/contracts';
import test from 'ava';
import fc from 'fast-check';
import {LeavingSource} from '../backend_server/leaving_status.js';
import {RefusalReason} from '../link/call.js';
import {
  callAt,
  neverAborted,
  serviceConfig,
  serviceWithTime,
} from '../testing/calls.js';
import {FakeTime} from '../testing/fake_time.js';
import type {Placement} from './service.js';

const NONE: ReadonlySet<string> = new Set();

function dispatched(placement: Placement | undefined) {
  if (placement?.kind !== 'dispatch') throw new Error('expected a dispatch');
  return placement;
}

test('a free slot goes to the most urgent call, then to the earliest deadline', async t => {
  const time = new FakeTime();
  const service = serviceWithTime(time, serviceConfig(1, 1));
  const first = dispatched(
    await service.place(callAt(0), NONE, 0, neverAborted()),
  );
  const order: string[] = [];
  const calls = [
    callAt(0, Rank.Bulk, {id: 'bulk'}),
    callAt(0, Rank.Urgent, {id: 'later', deadline: 900}),
    callAt(0, Rank.Urgent, {id: 'earlier', deadline: 800}),
    callAt(0, Rank.Live, {id: 'live'}),
  ];
  const placing = calls.map(async call => {
    const {server, slot} = dispatched(
      await service.place(call, NONE, 0, neverAborted()),
    );
    order.push(call.id);
    service.release(server, slot, time.now());
  });
  service.release(first.server, first.slot, 0);
  await Promise.all(placing);
  t.deepEqual(order, ['earlier', 'later', 'live', 'bulk']);
});

test('an expired call is refused at its deadline, an abandoned one immediately', async t => {
  const time = new FakeTime();
  const service = serviceWithTime(time, serviceConfig(1, 1));
  const first = dispatched(
    await service.place(callAt(0), NONE, 0, neverAborted()),
  );
  const left = new AbortController();
  const results: Placement[] = [];
  const expiring = service.place(
    callAt(0, 1, {deadline: 50}),
    NONE,
    0,
    neverAborted(),
  );
  const leaving = service.place(callAt(0), NONE, 0, left.signal);
  void Promise.resolve(expiring).then(p => results.push(p));
  void Promise.resolve(leaving).then(p => results.push(p));
  left.abort();
  await time.advance(49);
  t.like(results, [{reason: RefusalReason.CallerLeft, outcome: 'not-run'}]);
  await time.advance(1);
  t.like(results[1], {
    reason: RefusalReason.DeadlinePassed,
    outcome: 'not-run',
  });
  t.is(service.waiting(Rank.Urgent), 0);
  service.release(first.server, first.slot, 50);
  t.is(first.server.inFlight, 0, 'neither call occupies a slot');
});

test('a call that cannot be answered in time is refused on arrival', async t => {
  const time = new FakeTime();
  const service = serviceWithTime(time, serviceConfig(1, 1));
  const {server} = dispatched(
    await service.place(callAt(0), NONE, 0, neverAborted()),
  );
  // A call takes 100 ms.
  Array.from({length: 60}).forEach(() =>
    service.recordAnswer(server, callAt(0), 100, 0),
  );
  const place = (deadline: number) =>
    Promise.resolve(
      service.place(callAt(0, 1, {deadline}), NONE, 0, neverAborted()),
    );
  const waiting = Array.from({length: 5}, () => place(500));
  const refused = await place(550);
  t.like(refused, {
    reason: RefusalReason.DeadlineUnreachable,
    outcome: 'not-run',
  });
  // A call ahead of the waiting ones can still be answered in time.
  const urgent = place(450);
  t.is(service.waiting(Rank.Urgent), 6);
  await time.advance(500);
  const results = await Promise.all([urgent, ...waiting]);
  t.true(results.every(result => result.kind === 'refused'));
});

test('a leaving server gets no calls, and calls do not wait long without servers', async t => {
  const time = new FakeTime();
  const service = serviceWithTime(time, serviceConfig(1, 1));
  service.markLeaving('s0', LeavingSource.Platform, 0);
  const place = (deadline: number) =>
    service.place(
      callAt(time.now(), 1, {deadline}),
      NONE,
      time.now(),
      neverAborted(),
    );
  const waiting = Promise.resolve(place(60_000));
  await time.advance(5_000);
  const expected = {reason: RefusalReason.NoBackendServer, outcome: 'not-run'};
  t.like(await waiting, expected);
  t.like(await place(60_000), expected);
});

test('under overload each rank gets its floor and urgent calls get the rest', async t => {
  const time = new FakeTime();
  const floors = {urgent: 0, live: 0.2, bulk: 0.05};
  const service = serviceWithTime(time, serviceConfig(4, 2, {floors}));
  const served = new Map<Rank, number>();
  // Each rank always has waiting calls. A call takes 10 ms.
  const client = async (rank: Rank) => {
    while (time.now() < 5_000) {
      const now = time.now();
      const placement = await service.place(
        callAt(now, rank, {deadline: 1e6, targetMs: 1e6}),
        NONE,
        now,
        neverAborted(),
      );
      const {server, slot} = dispatched(placement);
      await new Promise<void>(resolve => time.set(10, resolve));
      served.set(rank, (served.get(rank) ?? 0) + 1);
      service.recordAnswer(server, callAt(now, rank), 10, time.now());
      service.release(server, slot, time.now());
    }
  };
  RANKS.forEach(rank => {
    Array.from({length: 20}).forEach(() => void client(rank));
  });
  await time.advance(5_000);
  const all = RANKS.reduce((sum, rank) => sum + (served.get(rank) ?? 0), 0);
  const share = (rank: Rank) => (served.get(rank) ?? 0) / all;
  t.true(all >= 3_900, `no slot is idle: ${all} of 4000`);
  t.true(Math.abs(share(Rank.Live) - 0.2) < 0.02, `live ${share(Rank.Live)}`);
  t.true(Math.abs(share(Rank.Bulk) - 0.05) < 0.02, `bulk ${share(Rank.Bulk)}`);
});

test('no call is lost and no slot is used twice, for any sequence of events', async t => {
  const step = fc.oneof(
    fc.record({
      kind: fc.constant('place' as const),
      rank: fc.constantFrom(...RANKS),
      timeMs: fc.integer({min: 1, max: 300}),
    }),
    fc.record({kind: fc.constant('release' as const), nth: fc.nat(20)}),
    fc.record({kind: fc.constant('leave' as const), nth: fc.nat(20)}),
    fc.record({
      kind: fc.constant('wait' as const),
      timeMs: fc.integer({min: 1, max: 100}),
    }),
  );
  await fc.assert(
    fc.asyncProperty(fc.array(step, {maxLength: 80}), async steps => {
      const time = new FakeTime();
      const service = serviceWithTime(time, serviceConfig(3, 2));
      const running: {kind: 'dispatch'; release: () => void}[] = [];
      const callers: AbortController[] = [];
      let placed = 0;
      let ended = 0;
      for (const s of steps) {
        const now = time.now();
        switch (s.kind) {
          case 'place': {
            const caller = new AbortController();
            callers.push(caller);
            placed += 1;
            const call = callAt(now, s.rank, {deadline: now + s.timeMs});
            void Promise.resolve(
              service.place(call, NONE, now, caller.signal),
            ).then(p => {
              if (p.kind === 'refused') ended += 1;
              else {
                if (time.now() >= call.deadline)
                  throw new Error('expired call dispatched');
                const release = () =>
                  service.release(p.server, p.slot, time.now());
                running.push({kind: 'dispatch', release});
              }
            });
            break;
          }
          case 'release': {
            const [one] = running.splice(s.nth % (running.length || 1), 1);
            if (one) ended += 1;
            one?.release();
            break;
          }
          case 'leave':
            callers[s.nth % (callers.length || 1)]?.abort();
            break;
          case 'wait':
            break;
        }
        await time.advance(s.kind === 'wait' ? s.timeMs : 0);
        service.backendServers.forEach(server => {
          if (server.inFlight > 2) throw new Error('slot used twice');
        });
      }
      await time.advance(400);
      while (running.length > 0) {
        running.pop()!.release();
        ended += 1;
        await time.advance(0);
      }
      return ended === placed;
    }),
    {seed: 4, numRuns: 60},
  );
  t.pass();
});
