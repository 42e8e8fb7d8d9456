/**
 * Limits retries and hedges (all sends beyond the first of a request) over a
 * sliding window. Each instance stays within a ratio of its own requests, so
 * the ratio also holds for the whole fleet without coordination.
 */

/** Number of buckets per window. */
const BUCKETS = 10;
/**
 * Number of buckets for repeated sends: one more than for requests, so that a
 * send in a partly expired bucket counts until the whole window has passed.
 */
const REPEAT_BUCKETS = BUCKETS + 1;

/** Limits on the repeated sends to a service. */
export interface RepeatBudgetLimits {
  /** Repeated sends allowed per request in the window. */
  readonly ratio: number;
  /** Repeated sends allowed in addition, for this instance. */
  readonly extra: number;
  /** Length of the window, milliseconds. */
  readonly windowMs: number;
}

/** Budget for repeated sends from this instance to one service. */
export class RepeatBudget {
  private readonly requests = new Array<number>(BUCKETS).fill(0);
  private readonly repeats = new Array<number>(REPEAT_BUCKETS).fill(0);
  private bucket = 0;

  constructor(private readonly limits: RepeatBudgetLimits) {}

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
    const {ratio, extra} = this.limits;
    return ratio * sum(this.requests) + extra - sum(this.repeats);
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
