/** Tests of goodput when one rank is overloaded. */
import {Rank, RANKS} from '@ragworthall/contracts';
import test from 'ava';
import {SeededRandom} from '../link/random.js';
import {
  callAt,
  neverAborted,
  callRunnerWithTime,
  serviceConfig,
  serviceWithTime,
} from '../testing/calls.js';
import {answered, FakeBackend} from '../testing/fake_backend.js';
import {FakeTime} from '../testing/fake_time.js';

const SERVERS = 5;
const SLOTS = 2;
const CALL_MS = 10;
/** Calls per millisecond that the servers can execute. */
const CAPACITY = (SERVERS * SLOTS) / CALL_MS;
const TARGET_MS = 100;
const DEADLINE_MS = 500;
const RUN_MS = 4_000;
/** Time before counting starts, milliseconds. */
const SETTLE_MS = 1_000;

/** Offered load of each rank as a fraction of the capacity. */
type Offered = Readonly<Record<Rank, number>>;

interface Served {
  /** Calls offered while counting. */
  readonly offered: number;
  /** Of these, the calls answered within the target. */
  readonly inTarget: number;
}

/**
 * Offers calls at random times and counts the calls answered within the target.
 */
async function offer(loads: Offered, seed: number) {
  const time = new FakeTime();
  const floors = {urgent: 0, live: 0.2, bulk: 0.05};
  const service = serviceWithTime(
    time,
    serviceConfig(SERVERS, SLOTS, {floors}),
    {
      random: new SeededRandom(seed),
    },
  );
  const random = new SeededRandom(seed + 1);
  const backend = new FakeBackend(time, () => ({
    // Between 0.5 and 1.5 times the mean.
    delayMs: CALL_MS / 2 + (random.nextInt(1_000) * CALL_MS) / 1_000,
    attempt: answered(),
  }));
  const runner = callRunnerWithTime(time, backend);
  const counts = new Map(RANKS.map(r => [r, {offered: 0, inTarget: 0}]));
  const arrive = (rank: Rank) => {
    const start = time.now();
    const call = callAt(start, rank, {
      idempotent: false,
      targetMs: TARGET_MS,
      deadline: start + DEADLINE_MS,
    });
    const count = counts.get(rank)!;
    const isCounted = start >= SETTLE_MS;
    if (isCounted) count.offered += 1;
    void runner.run(service, call, neverAborted()).then(result => {
      const took = time.now() - start;
      const isInTarget = result.kind === 'answered' && took <= TARGET_MS;
      if (isInTarget && isCounted) count.inTarget += 1;
    });
  };
  for (let i = 0; i < RUN_MS; i++) {
    RANKS.forEach(rank => {
      const perMs = loads[rank] * CAPACITY;
      const arrivals = Math.floor(perMs + random.nextInt(1_000) / 1_000);
      Array.from({length: arrivals}).forEach(() => arrive(rank));
    });
    await time.advance(1);
  }
  await time.advance(DEADLINE_MS + 1);
  const capacity = CAPACITY * (RUN_MS - SETTLE_MS);
  return {counts: counts as ReadonlyMap<Rank, Served>, capacity};
}

function shareInTarget({offered, inTarget}: Served): number {
  return inTarget / offered;
}

test('an overload of the least urgent rank leaves the others their goodput', async t => {
  const calm = await offer({1: 0.2, 2: 0.4, 3: 0.2}, 1);
  const flood = await offer({1: 0.2, 2: 0.4, 3: 5}, 1);
  [Rank.Urgent, Rank.Live].forEach(rank => {
    const before = shareInTarget(calm.counts.get(rank)!);
    const after = shareInTarget(flood.counts.get(rank)!);
    t.true(after >= 0.99 * before, `rank ${rank}: ${after}, was ${before}`);
  });
  const all = RANKS.map(rank => flood.counts.get(rank)!.inTarget);
  const goodput = all.reduce((sum, n) => sum + n, 0) / flood.capacity;
  t.true(goodput >= 0.95, `goodput ${goodput}`);
});

test('an overload of the most urgent rank leaves the others their floors', async t => {
  const {counts, capacity} = await offer({1: 5, 2: 0.4, 3: 0.3}, 2);
  const share = (rank: Rank) => counts.get(rank)!.inTarget / capacity;
  t.true(share(Rank.Live) >= 0.2 * 0.95, `live ${share(Rank.Live)}`);
  t.true(share(Rank.Bulk) >= 0.05 * 0.95, `bulk ${share(Rank.Bulk)}`);
  const goodput = RANKS.map(share).reduce((sum, s) => sum + s, 0);
  t.true(goodput >= 0.95, `goodput ${goodput}`);
  t.true(share(Rank.Urgent) >= 0.7, `urgent ${share(Rank.Urgent)}`);
});

test('a short burst is served instead of being refused', async t => {
  const time = new FakeTime();
  const service = serviceWithTime(time, serviceConfig(SERVERS, SLOTS));
  const backend = new FakeBackend(time, () => ({
    delayMs: CALL_MS,
    attempt: answered(),
  }));
  const runner = callRunnerWithTime(time, backend);
  const kinds: string[] = [];
  // 300 ms of work at once: too late for the target, in time for the deadline.
  Array.from({length: 300}).forEach(() => {
    const call = callAt(0, Rank.Live, {deadline: DEADLINE_MS});
    void runner
      .run(service, call, neverAborted())
      .then(r => kinds.push(r.kind));
  });
  await time.advance(DEADLINE_MS);
  t.is(kinds.filter(kind => kind === 'answered').length, 300);
});
