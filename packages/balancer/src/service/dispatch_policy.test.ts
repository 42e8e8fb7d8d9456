/** Tests of server selection with stragglers and failing servers. */
import {Rank} from '@ragworthall/contracts';
import test from 'ava';
import fc from 'fast-check';
import {FailureDomains} from '../failure_domain/failure_domains.js';
import {SeededRandom} from '../link/random.js';
import {
  addressOf,
  callAt,
  neverAborted,
  callRunnerWithTime,
  serviceConfig,
  serviceWithTime,
} from '../testing/calls.js';
import {
  answered,
  type Behaviour,
  FakeBackend,
} from '../testing/fake_backend.js';
import {FakeTime} from '../testing/fake_time.js';
import type {DispatchPolicy} from './dispatch_policy.js';

interface Load {
  readonly policy?: DispatchPolicy;
  readonly servers: number;
  readonly slots: number;
  /** Time between two calls, milliseconds. */
  readonly intervalMs: number;
  readonly calls: number;
  readonly rank?: Rank;
  readonly idempotent?: boolean;
  readonly behave: (server: string) => Behaviour;
}

/**
 * Runs calls at a constant rate; returns their latencies in order of arrival.
 */
async function runLoad(load: Load) {
  const time = new FakeTime();
  const {policy} = load;
  const service = serviceWithTime(
    time,
    serviceConfig(load.servers, load.slots),
    {
      policy,
      random: new SeededRandom(7),
    },
  );
  const backend = new FakeBackend(time, load.behave);
  const runner = callRunnerWithTime(time, backend);
  const latencies: number[] = [];
  const statuses: (number | string)[] = [];
  for (let i = 0; i < load.calls; i++) {
    const start = time.now();
    const call = callAt(start, load.rank, {idempotent: load.idempotent});
    void runner.run(service, call, neverAborted()).then(result => {
      latencies[i] = time.now() - start;
      statuses[i] =
        result.kind === 'answered' ? result.answer.status : result.reason;
    });
    await time.advance(load.intervalMs);
  }
  await time.advance(2_000);
  return {latencies, statuses, backend};
}

function quantile(values: readonly number[], q: number): number {
  const sorted = values.toSorted((a, b) => a - b);
  return sorted[Math.floor(q * (sorted.length - 1))]!;
}

const SLOW = addressOf(0);

test('a straggler gets almost no calls', async t => {
  const {latencies, backend} = await runLoad({
    servers: 6,
    slots: 2,
    intervalMs: 1.25,
    calls: 2_000,
    idempotent: false,
    behave: server => ({
      delayMs: server === SLOW ? 100 : 10,
      attempt: answered(),
    }),
  });
  const settled = backend.sent.slice(400);
  const slow = settled.filter(s => s.address === SLOW).length;
  t.true(slow <= 0.005 * settled.length, `${slow} calls at the straggler`);
  t.true(quantile(latencies.slice(400), 0.99) <= 20);
});

test('a straggler that has recovered is detected and used again', async t => {
  let sent = 0;
  const {backend} = await runLoad({
    servers: 4,
    slots: 2,
    intervalMs: 2,
    calls: 6_000,
    idempotent: false,
    behave: server => {
      sent += 1;
      const slow = server === SLOW && sent < 1_000;
      return {delayMs: slow ? 100 : 10, attempt: answered()};
    },
  });
  const last = backend.sent.slice(-1_000);
  t.true(last.filter(s => s.address === SLOW).length > 100);
});

test('random variation makes no server a straggler', async t => {
  const random = new SeededRandom(5);
  const {backend} = await runLoad({
    servers: 6,
    slots: 2,
    intervalMs: 9.5,
    calls: 1_500,
    idempotent: false,
    behave: () => {
      const uniform = (random.nextInt(60_000) + 1) / 60_001;
      return {delayMs: -100 * Math.log(uniform), attempt: answered()};
    },
  });
  const parts = [backend.sent.slice(0, 150), backend.sent.slice(150)];
  parts.forEach(sent =>
    Array.from({length: 6}, (_, i) => addressOf(i)).forEach(address => {
      const share = sent.filter(s => s.address === address).length;
      t.true(share >= 0.1 * sent.length, `${address}: ${share}`);
    }),
  );
});

test('a server that fails fast does not attract calls', async t => {
  const {statuses, backend} = await runLoad({
    servers: 6,
    slots: 2,
    intervalMs: 1.25,
    calls: 2_000,
    idempotent: false,
    behave: server =>
      server === SLOW
        ? {delayMs: 1, attempt: answered(500)}
        : {delayMs: 10, attempt: answered()},
  });
  const failed = backend.sent.filter(s => s.address === SLOW).length;
  // Three calls until it is ejected, then one per trial.
  t.true(failed <= 8, `${failed} calls`);
  t.is(statuses.filter(s => s === 500).length, failed);
});

test('a slow server that reports to be idle does not attract calls', async t => {
  const {backend} = await runLoad({
    servers: 4,
    slots: 2,
    intervalMs: 2,
    calls: 1_000,
    idempotent: false,
    behave: server => ({
      delayMs: server === SLOW ? 100 : 10,
      attempt: answered(200, server === SLOW ? 0 : 2),
    }),
  });
  const late = backend.sent.slice(300);
  const slow = late.filter(s => s.address === SLOW).length;
  t.true(slow <= 0.01 * late.length, `${slow} calls`);
});

test('if most servers fail, all of them remain in use', async t => {
  const {statuses} = await runLoad({
    servers: 4,
    slots: 2,
    intervalMs: 5,
    calls: 400,
    idempotent: false,
    behave: server =>
      server === addressOf(3)
        ? {delayMs: 10, attempt: answered()}
        : {delayMs: 10, attempt: answered(500)},
  });
  t.true(statuses.every(status => typeof status === 'number'));
});

const POLICIES: readonly DispatchPolicy[] = [
  {kind: 'random'},
  {kind: 'round_robin'},
  {kind: 'least_in_flight'},
  {kind: 'power_of_two'},
  {kind: 'fastest_free'},
];

test('every policy uses all slots but no more', async t => {
  for (const policy of POLICIES) {
    const {latencies, backend} = await runLoad({
      policy,
      servers: 3,
      slots: 2,
      intervalMs: 1.8,
      calls: 300,
      behave: () => ({delayMs: 10, attempt: answered()}),
    });
    t.is(backend.sent.length, 300, policy.kind);
    const {sent} = backend;
    const third = sent.filter(({address, at}, i) => {
      const before = sent.slice(0, i).filter(s => s.address === address);
      return before.filter(s => s.at > at - 10).length >= 2;
    });
    t.deepEqual(third, [], 'no server ran three calls at a time');
    t.true(quantile(latencies, 0.99) <= 20, policy.kind);
  }
});

test('distance decides between servers without measurements', t => {
  const time = new FakeTime();
  const cfg = serviceConfig(2, 2);
  const [near, far] = cfg.backendServers;
  const service = serviceWithTime(
    time,
    {...cfg, backendServers: [{...far!, failureDomain: 'b'}, near!]},
    {failureDomain: 'a'},
  );
  const placed = service.tryPlace(callAt(0), new Set(), 0);
  t.is(placed?.kind === 'dispatch' && placed.server.cfg.failureDomain, 'a');
  t.true(new FailureDomains('a').roundTripMs('b') > 0.5);
});

test('random numbers are within their bounds', t => {
  fc.assert(
    fc.property(fc.integer(), fc.integer({min: 1, max: 65_536}), (seed, n) => {
      const random = new SeededRandom(seed);
      const drawn = Array.from({length: 20}, () => random.nextInt(n));
      return drawn.every(x => Number.isInteger(x) && x >= 0 && x < n);
    }),
    {seed: 4, numRuns: 200},
  );
  t.pass();
});
