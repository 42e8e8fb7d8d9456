/** Tests of the limit on repeated sends, over all instances of a fleet. */
import test from 'ava';
import {SeededRandom} from '../link/random.js';
import {RepeatBudget} from './repeat_budget.js';

const LIMITS = {ratio: 0.2, extra: 430, windowMs: 10_000};
/** Time between the starts of instances and the first request, milliseconds. */
const LEAD_MS = 12_000;
const STEP_MS = 100;

/** One instance of the fleet, which is replaced when it restarts. */
interface Instance {
  budget: RepeatBudget;
  /** Relative number of requests that reach it. */
  readonly weight: number;
}

/**
 * Lets all instances repeat as much as they may, with uneven traffic; returns the
 * largest excess over the ratio in any window, summed over all instances.
 */
function largestExcess(
  size: number,
  options: {
    readonly seed: number;
    /** Time at which all instances are restarted. */
    readonly restartAt?: number;
    /** Instances that join later and are not known to the others. */
    readonly joining?: number;
  },
): number {
  const random = new SeededRandom(options.seed);
  const joining = options.joining ?? 0;
  const create = (known: number, restartedAt: number) =>
    new RepeatBudget(LIMITS, {instanceCount: () => known, restartedAt});
  const instances: Instance[] = Array.from({length: size}, () => ({
    budget: create(size, -Infinity),
    weight: random.nextInt(100),
  }));
  const steps: {requests: number; repeats: number}[] = [];
  for (let now = LEAD_MS; now < LEAD_MS + 40_000; now += STEP_MS) {
    if (now === options.restartAt) {
      instances.forEach(instance => (instance.budget = create(size, now)));
    }
    if (now === LEAD_MS + 20_000 && joining > 0) {
      const budget = () => create(size + joining, -Infinity);
      const added = Array.from({length: joining}, () => ({
        budget: budget(),
        weight: 50,
      }));
      instances.push(...added);
    }
    const step = {requests: 0, repeats: 0};
    instances.forEach(({budget, weight}) => {
      const requests = random.nextInt(100) < weight ? 1 + random.nextInt(2) : 0;
      step.requests += requests;
      Array.from({length: requests}, () => budget.recordRequest(now));
      while (budget.trySpend(now)) step.repeats += 1;
    });
    steps.push(step);
  }
  const window = LIMITS.windowMs / STEP_MS;
  const sumOf = (from: number, count: 'requests' | 'repeats') =>
    steps
      .slice(Math.max(0, from), Math.max(0, from + window))
      .reduce((sum, step) => sum + step[count], 0);
  // Requests count in the window, the one before it or half a window before it.
  const excess = steps.map((_, i) => {
    const requests = Math.max(
      ...[i, i - window / 2, i - window].map(from => sumOf(from, 'requests')),
    );
    return sumOf(i, 'repeats') - LIMITS.ratio * requests;
  });
  return Math.max(...excess);
}

[7, 64, 123, 300].forEach(size => {
  test(`${size} instances together keep the common limit`, t => {
    const excess = largestExcess(size, {seed: size});
    t.true(excess <= LIMITS.extra, `${excess}`);
  });

  test(`${size} instances keep it when all restart or others join`, t => {
    const restarted = largestExcess(size, {
      seed: size,
      restartAt: LEAD_MS + 15_000,
    });
    t.true(restarted <= LIMITS.extra, `${restarted}`);
    const joining = Math.ceil(size / 10);
    const joined = largestExcess(size, {seed: size, joining});
    t.true(joined <= LIMITS.extra, `${joined}`);
  });
});

test('a small fleet uses most of what is allowed in addition', t => {
  const excess = largestExcess(7, {seed: 1});
  t.true(excess >= 0.7 * LIMITS.extra, `${excess}`);
});

test('while the size of the fleet is unknown its share is small', t => {
  const budget = new RepeatBudget(LIMITS, {
    instanceCount: () => 0,
    restartedAt: -Infinity,
  });
  t.true(budget.remaining(LEAD_MS) < 1);
});
