/**
 * Limits how often one instance probes one backend server. The measurement
 * budget holds without coordination between instances: each seat of the cell
 * has a fixed share of the budget, whether or not the other seats are occupied.
 *
 * Two probes from the same seat arrive at least one interval apart, where the
 * interval is `probeCostMs / measurementShare * seats`. In any window of that
 * length a server therefore receives at most `seats` probes, which is exactly
 * the budget, and the same holds for each multiple of the interval. A window of
 * length W contains at most `seats * ceil(W / interval)` probes. Probes from
 * several seats may arrive together within an interval; preventing that would
 * need synchronized clocks.
 */
import type {Budgets} from '@ragworthall/contracts';

/** Returns the minimum time between two probes from one seat, milliseconds. */
export function probeIntervalMs(budgets: Budgets, seats: number): number {
  const {probeCostMs, measurementShare} = budgets;
  return measurementShare > 0
    ? (probeCostMs / measurementShare) * seats
    : Infinity;
}

/** Rate limit for probes of one backend server by this instance. */
export class ProbePermit {
  private lastProbeAt: number;
  private pendingCount = 0;

  /**
   * @param startedAt Start of this incarnation. The previous incarnation at the
   *     same seat may have probed just before, so the first probe waits for a
   *     whole interval from this time.
   */
  constructor(
    startedAt: number,
    private intervalMs: number,
  ) {
    this.lastProbeAt = startedAt;
  }

  /** Applies a changed interval. */
  updateInterval(intervalMs: number): void {
    this.intervalMs = intervalMs;
  }

  /** Time from which a probe is allowed; Infinity while one is pending. */
  get availableAt(): number {
    if (this.pendingCount > 0) return Infinity;
    return this.lastProbeAt + this.intervalMs;
  }

  /** Starts a probe if one is allowed; `release` must follow if it returns true. */
  tryAcquire(now: number): boolean {
    if (now < this.availableAt) return false;
    this.pendingCount += 1;
    return true;
  }

  /**
   * Ends the probe. The interval counts from here, because a paused process
   * may send a probe long after acquiring the permit.
   */
  release(now: number): void {
    this.pendingCount -= 1;
    this.lastProbeAt = Math.max(this.lastProbeAt, now);
  }
}

/** The seat whose share of the measurement budget is used. */
export interface ProbeSeat {
  /** Fixed number of seats of the cell. */
  readonly seats: number;
  /** Start of the incarnation on the monotonic clock, milliseconds. */
  readonly startedAt: number;
}

/**
 * The permits of one instance, by server address. A server that is listed in
 * several services, or removed and added again, shares one permit and is not
 * probed more often.
 */
export class ProbePermits {
  private readonly permits = new Map<string, ProbePermit>();

  constructor(private readonly seat: ProbeSeat) {}

  /** Returns the permit for the server at `address`, updated to `budgets`. */
  forAddress(address: string, budgets: Budgets): ProbePermit {
    const intervalMs = probeIntervalMs(budgets, this.seat.seats);
    const known = this.permits.get(address);
    known?.updateInterval(intervalMs);
    if (known) return known;
    const permit = new ProbePermit(this.seat.startedAt, intervalMs);
    this.permits.set(address, permit);
    return permit;
  }
}
