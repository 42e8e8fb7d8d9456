/**
 * Measures how fast the waiting calls of one rank are dispatched, and detects
 * sustained overload: calls that have been late for their targets for some
 * time.
 */

/** Weight of the newest interval in the moving average. */
const INTERVAL_WEIGHT = 0.05;
/**
 * Time since the last dispatch after which the measured interval is stale,
 * milliseconds.
 */
const INTERVAL_LIFETIME_MS = 1_000;
/**
 * Duration of late dispatches from which they count as overload, not as a short
 * burst, milliseconds.
 */
const OVERLOAD_AFTER_MS = 300;

/** Dispatch interval and overload state of one rank of a service. */
export class RankLoadMonitor {
  private intervalMs: number | undefined;
  private lastDispatchAt = -Infinity;
  private backlogged = false;
  private lateSince: number | undefined;
  private overloaded = false;

  /**
   * Whether the rank has for some time received more calls than can be answered
   * within their targets.
   */
  get isOverloaded(): boolean {
    return this.overloaded;
  }

  /** Records a dispatch; `late` if the call can no longer meet its target. */
  recordDispatch(late: boolean, stillWaiting: number, now: number): void {
    if (this.backlogged) this.recordInterval(now - this.lastDispatchAt);
    this.lastDispatchAt = now;
    this.backlogged = stillWaiting > 0;
    this.recordLateness(late, now);
    // An empty queue shows that the capacity is sufficient again.
    if (!this.backlogged) this.endOverload();
  }

  /** Records that a call was refused because it had waited too long. */
  recordExpired(now: number): void {
    this.recordLateness(true, now);
  }

  /** Records that the queue is empty. */
  recordIdle(): void {
    this.backlogged = false;
    this.endOverload();
  }

  /**
   * Expected wait behind `ahead` calls; undefined without a recent measurement.
   */
  waitMs(ahead: number, now: number): number | undefined {
    if (this.intervalMs === undefined || !this.backlogged) return undefined;
    if (now - this.lastDispatchAt > INTERVAL_LIFETIME_MS) return undefined;
    return ahead * this.intervalMs;
  }

  private recordInterval(elapsedMs: number): void {
    const mean = this.intervalMs ?? elapsedMs;
    this.intervalMs = mean + INTERVAL_WEIGHT * (elapsedMs - mean);
  }

  private recordLateness(late: boolean, now: number): void {
    if (!late) {
      if (!this.overloaded) this.lateSince = undefined;
      return;
    }
    this.lateSince ??= now;
    if (now - this.lateSince >= OVERLOAD_AFTER_MS) this.overloaded = true;
  }

  private endOverload(): void {
    this.lateSince = undefined;
    this.overloaded = false;
  }
}
