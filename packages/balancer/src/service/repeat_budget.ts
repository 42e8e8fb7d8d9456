/**
 * Limits retries and hedges (all sends beyond the first of a request) over a
 * sliding window. The limit is common to all instances. Each one stays within the
 * ratio of its own requests and within its share of what is allowed in addition,
 * so that the sum over the fleet holds without coordination.
 */

/** Number of buckets per window. */
const BUCKETS = 10;
/**
 * Number of buckets for repeated sends: one more than for requests, so that a
 * send in a partly expired bucket counts until the whole window has passed.
 */
const REPEAT_BUCKETS = BUCKETS + 1;

/**
 * Shares into which the extra is divided for each known instance. Instances that
 * have just started are not known to the others.
 */
const SHARES_PER_INSTANCE = 1.25;
/** Number of instances that is assumed while it is unknown. */
const ASSUMED_INSTANCES = 512;

/** Limits on the repeated sends to a service, over all instances. */
export interface RepeatBudgetLimits {
  /** Repeated sends allowed per request in the window. */
  readonly ratio: number;
  /** Repeated sends allowed in addition. */
  readonly extra: number;
  /** Length of the window, milliseconds. */
  readonly windowMs: number;
}

/** What an instance knows of the fleet. */
export interface FleetView {
  /** Number of known instances; 0 while it is unknown. */
  instanceCount(): number;
  /**
   * Time at which this process started in the place of an earlier one,
   * milliseconds; that one may have spent the share of the current window.
   * -Infinity if there was none.
   */
  readonly restartedAt: number;
}

/** Budget for repeated sends from this instance to one service. */
export class RepeatBudget {
  private readonly requests = new Array<number>(BUCKETS).fill(0);
  private readonly repeats = new Array<number>(REPEAT_BUCKETS).fill(0);
  private bucket = 0;

  constructor(
    private readonly limits: RepeatBudgetLimits,
    private readonly fleet: FleetView,
  ) {}

  /** Counts a new request, which adds to the budget. */
  recordRequest(now: number): void {
    this.advance(now);
    this.requests[this.bucket % BUCKETS]! += 1;
  }

  /** Spends one repeated send; returns false if the budget is exhausted. */
  trySpend(now: number): boolean {
    if (this.remaining(now) < 1) return false;
    this.repeats[this.bucket % REPEAT_BUCKETS]! += 1;
    return true;
  }

  /** Number of repeated sends allowed now. */
  remaining(now: number): number {
    this.advance(now);
    const allowed =
      this.limits.ratio * sum(this.requests) + this.extraShare(now);
    return allowed - sum(this.repeats);
  }

  /** This instance's share of the extra. */
  private extraShare(now: number): number {
    const {extra, windowMs} = this.limits;
    if (now < this.fleet.restartedAt + windowMs) return 0;
    const instances = this.fleet.instanceCount() || ASSUMED_INSTANCES;
    return extra / (SHARES_PER_INSTANCE * instances);
  }

  /** Moves to the current bucket and clears the ones that have expired. */
  private advance(now: number): void {
    const current = Math.floor(now / (this.limits.windowMs / BUCKETS));
    const elapsed = Math.min(REPEAT_BUCKETS, current - this.bucket);
    this.bucket = Math.max(current, this.bucket);
    for (let i = 0; i < elapsed; i++) {
      this.requests[(this.bucket - i) % BUCKETS] = 0;
      this.repeats[(this.bucket - i) % REPEAT_BUCKETS] = 0;
    }
  }
}

function sum(counts: readonly number[]): number {
  return counts.reduce((total, count) => total + count, 0);
}
