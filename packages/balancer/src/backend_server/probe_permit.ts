/**
 * The right of one instance to probe one backend server. It holds the budget
 * for measurement whatever instances believe about one another: each seat of
 * the cell has a fixed part of the budget, whether the others are there or not.
 *
 * Between the arrivals of two probes of one seat lies at least an interval of
 * `probeCostMs / measurementShare * seats`. So in any window as long as that
 * interval a server gets at most `seats` probes, which is exactly the share,
 * and the same in each multiple of it; in a window of W at most
 * `seats * ceil(W / interval)`. Within an interval probes of several seats may
 * come together: that would need clocks in step to prevent.
 */
import type {Budgets} from '@ragworthall/contracts';

/** Returns the least time between two probes of one seat, milliseconds. */
export function probeIntervalMs(budgets: Budgets, seats: number): number {
  const {probeCostMs, measurementShare} = budgets;
  return measurementShare > 0
    ? (probeCostMs / measurementShare) * seats
    : Infinity;
}

/** When this instance may probe one backend server. */
export class ProbePermit {
  private lastProbe: number;
  private running = 0;

  /**
   * `startedAt` is the start of this incarnation: the one before it at the
   * same seat may have probed just then, so that the first probe has to wait
   * as if it had been this one's.
   */
  constructor(
    startedAt: number,
    private intervalMs: number,
  ) {
    this.lastProbe = startedAt;
  }

  /** Takes over a changed interval. */
  reconfigure(intervalMs: number): void {
    this.intervalMs = intervalMs;
  }

  /** Time from which a probe is allowed; Infinity while one runs. */
  get availableAt(): number {
    if (this.running > 0) return Infinity;
    return this.lastProbe + this.intervalMs;
  }

  /** Uses the right; false if it is not due. `settle` has to follow. */
  tryAcquire(now: number): boolean {
    if (now < this.availableAt) return false;
    this.running += 1;
    return true;
  }

  /**
   * Takes in that the probe has ended. The interval counts from here: a paused
   * process may send a probe long after it decided to.
   */
  release(now: number): void {
    this.running -= 1;
    this.lastProbe = Math.max(this.lastProbe, now);
  }
}

/** Who probes: the seat whose part of the budget is used. */
export interface ProbeSeat {
  /** Number of seats of the cell, fixed. */
  readonly seats: number;
  /** Start of the incarnation on the monotonic clock, milliseconds. */
  readonly startedAt: number;
}

/**
 * The rights of one instance, by address: a server that several services name,
 * or that is removed and added again, is not probed more often for that.
 */
export class ProbePermits {
  private readonly rights = new Map<string, ProbePermit>();

  constructor(private readonly seat: ProbeSeat) {}

  /** The right to probe the server at `address`, under these budgets. */
  forAddress(address: string, budgets: Budgets): ProbePermit {
    const intervalMs = probeIntervalMs(budgets, this.seat.seats);
    const known = this.rights.get(address);
    known?.reconfigure(intervalMs);
    if (known) return known;
    const right = new ProbePermit(this.seat.startedAt, intervalMs);
    this.rights.set(address, right);
    return right;
  }
}
