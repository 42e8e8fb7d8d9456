/** The probe budget must hold without coordination between instances. */
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

test('the default budget allows one probe per 600 ms across all seats', t => {
  t.is(probeIntervalMs(BUDGETS, 1), 600);
  t.is(probeIntervalMs(BUDGETS, 7), 4_200);
  t.is(probeIntervalMs({...BUDGETS, measurementShare: 0}, 7), Infinity);
});

test('the first probe waits for a whole interval', t => {
  const permit = new ProbePermit(1_000, 600);
  t.false(permit.tryAcquire(1_599));
  t.true(permit.tryAcquire(1_600));
  t.false(permit.tryAcquire(5_000), 'one at a time');
  permit.release(5_000);
  t.is(permit.availableAt, 5_600);
});

test('a server that is listed twice or added again has one permit', t => {
  const permits = new ProbePermits({seats: 2, startedAt: 0});
  const permit = permits.forAddress('127.0.0.1:1', BUDGETS);
  t.is(
    permits.forAddress('127.0.0.1:1', {...BUDGETS, probeCostMs: 12}),
    permit,
  );
  t.is(permit.availableAt, 2_400);
});

/** One step of a random history of the seats. */
const step = fc.record({
  seat: fc.nat(4),
  /** Time since the previous step, milliseconds. */
  afterMs: fc.integer({min: 0, max: 400}),
  kind: fc.constantFrom('try' as const, 'try' as const, 'restart' as const),
  /** Delay until the probe arrives, as if the process were paused meanwhile. */
  pausedMs: fc.oneof(fc.constant(0), fc.integer({min: 0, max: 5_000})),
});

/**
 * A seat that probes whenever its permit allows. It uses no information about
 * the other seats, so their joining, pausing, stale data and disagreement have
 * no effect on it.
 */
class Seat {
  readonly arrivals: number[] = [];
  private permit: ProbePermit;
  private busyUntil = 0;

  constructor(private readonly intervalMs: number) {
    this.permit = new ProbePermit(0, intervalMs);
  }

  try(now: number, pausedMs: number): void {
    if (now < this.busyUntil || !this.permit.tryAcquire(now)) return;
    this.arrivals.push(now + pausedMs);
    this.busyUntil = now + pausedMs;
    this.permit.release(now + pausedMs);
  }

  /** Starts a new incarnation, unless a probe of the previous one is pending. */
  restart(now: number): void {
    if (now < this.busyUntil) return;
    this.permit = new ProbePermit(now, this.intervalMs);
  }
}

test('a server gets at most one probe per seat in each window of one interval', t => {
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
          const actingSeat = seats[seat % count]!;
          if (kind === 'try') actingSeat.try(now, pausedMs);
          else actingSeat.restart(now);
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
