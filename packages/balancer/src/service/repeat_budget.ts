/**
 * Bounds the sends beyond the first of each request, over a sliding window.
 * Instances that know nothing of each other keep a common bound if each stays
 * within a share of its own requests.
 */

/** Buckets that a window is divided into. */
const BUCKETS = 10;
/**
 * Buckets of repeated sends: one more, so that those at the edge of a window
 * count until the window has passed.
 */
const REPEAT_BUCKETS = BUCKETS + 1;

/** What bounds repeated sends to a service. */
export interface RepeatBudgetLimits {
  /** Repeated sends for each request in the window. */
  readonly ratio: number;
  /** Repeated sends beyond that, of this instance. */
  readonly extra: number;
  /** Length of the window, milliseconds. */
  readonly windowMs: number;
}

/** The repeated sends of one service by this instance. */
export class RepeatBudget {
  private readonly requests = new Array<number>(BUCKETS).fill(0);
  private readonly repeats = new Array<number>(REPEAT_BUCKETS).fill(0);
  private bucket = 0;

  constructor(private readonly limits: RepeatBudgetLimits) {}

  /** Counts a request of a caller. */
  recordRequest(now: number): void {
    this.advance(now);
    this.requests[this.bucket % BUCKETS]! += 1;
  }

  /** Takes one repeated send; false if the budget does not allow it. */
  trySpend(now: number): boolean {
    if (this.remaining(now) < 1) return false;
    this.repeats[this.bucket % REPEAT_BUCKETS]! += 1;
    return true;
  }

  /** Repeated sends that are allowed now. */
  remaining(now: number): number {
    this.advance(now);
    const {ratio, extra} = this.limits;
    return ratio * sum(this.requests) + extra - sum(this.repeats);
  }

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
