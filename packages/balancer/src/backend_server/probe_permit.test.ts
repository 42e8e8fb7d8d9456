/** Tests of the budget for probes: it holds whatever instances believe. */
import {serviceSchema} from '@ragworthall/contracts';
import test from 'ava';
import fc from 'fast-check';
import {CONTRACTS} from '../testing/calls.js';
import {probeIntervalMs, ProbePermit, ProbePermits} from './probe_permit.js';

const BUDGETS = serviceSchema.parse({
  member: 'altamar',
  name: 'grids',
  backendServers: [],
  contracts: [...CONTRACTS],
}).budgets;

test('the default budget is one probe each 600 ms from all seats', t => {
  t.is(probeIntervalMs(BUDGETS, 1), 600);
  t.is(probeIntervalMs(BUDGETS, 7), 4_200);
  t.is(probeIntervalMs({...BUDGETS, measurementShare: 0}, 7), Infinity);
});

test('the first probe waits for a whole interval', t => {
  const right = new ProbePermit(1_000, 600);
  t.false(right.tryAcquire(1_599));
  t.true(right.tryAcquire(1_600));
  t.false(right.tryAcquire(5_000), 'one at a time');
  right.release(5_000);
  t.is(right.availableAt, 5_600);
});

test('a server that is named twice or added again has one right', t => {
  const rights = new ProbePermits({seats: 2, startedAt: 0});
  const right = rights.forAddress('127.0.0.1:1', BUDGETS);
  t.is(rights.forAddress('127.0.0.1:1', {...BUDGETS, probeCostMs: 12}), right);
  t.is(right.availableAt, 2_400);
});

/** What one seat does next. */
const step = fc.record({
  seat: fc.nat(4),
  /** Time since the step before, milliseconds. */
  afterMs: fc.integer({min: 0, max: 400}),
  kind: fc.constantFrom('try' as const, 'try' as const, 'restart' as const),
  /** Time until the probe arrives, as the process may be paused meanwhile. */
  pausedMs: fc.oneof(fc.constant(0), fc.integer({min: 0, max: 5_000})),
});

/**
 * One seat that probes whenever it may. It believes nothing about the others,
 * so that their joining, pausing, lying stale and disagreeing change nothing.
 */
class Seat {
  readonly arrivals: number[] = [];
  private right: ProbePermit;
  private busyUntil = 0;

  constructor(private readonly intervalMs: number) {
    this.right = new ProbePermit(0, intervalMs);
  }

  try(now: number, pausedMs: number): void {
    if (now < this.busyUntil || !this.right.tryAcquire(now)) return;
    this.arrivals.push(now + pausedMs);
    this.busyUntil = now + pausedMs;
    this.right.release(now + pausedMs);
  }

  /** A new incarnation, once the one before has ended. */
  restart(now: number): void {
    if (now < this.busyUntil) return;
    this.right = new ProbePermit(now, this.intervalMs);
  }
}

test('in each window of one interval a server gets at most one probe for each seat', t => {
  fc.assert(
    fc.property(
      fc.integer({min: 1, max: 5}),
      fc.array(step, {minLength: 50, maxLength: 400}),
      (count, steps) => {
        const intervalMs = probeIntervalMs(BUDGETS, count);
        const seats = Array.from({length: count}, () => new Seat(intervalMs));
        let now = 0;
        steps.forEach(({seat, afterMs, kind, pausedMs}) => {
          now += afterMs;
          const actor = seats[seat % count]!;
          if (kind === 'try') actor.try(now, pausedMs);
          else actor.restart(now);
        });
        const arrivals = seats.flatMap(s => s.arrivals);
        return arrivals.every(start => {
          const within = (ms: number) =>
            arrivals.filter(at => at >= start && at < start + ms).length;
          const shareMs = (n: number) => n * BUDGETS.probeCostMs;
          const share = BUDGETS.measurementShare;
          return (
            shareMs(within(intervalMs)) <= share * intervalMs + 1e-9 &&
            shareMs(within(3 * intervalMs)) <= share * 3 * intervalMs + 1e-9
          );
        });
      },
    ),
    {seed: 4, numRuns: 200},
  );
  t.pass();
});
