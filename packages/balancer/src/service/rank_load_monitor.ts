/**
 * How fast the waiting calls of one rank leave for backend servers, and
 * whether they have waited too long for their targets for a while.
 */

/** Weight of the newest interval in the mean. */
const INTERVAL_WEIGHT = 0.05;
/** Age at which a measured pace is too old, milliseconds. */
const INTERVAL_LIFETIME_MS = 1_000;
/** Time of late dispatches after which it is not a short burst, milliseconds. */
const OVERLOAD_AFTER_MS = 300;

/** Pace of one rank of a service. */
export class RankLoadMonitor {
  private intervalMs: number | undefined;
  private lastDispatch = -Infinity;
  private backlogged = false;
  private lateSince: number | undefined;
  private overloaded = false;

  /** Whether the rank gets more work than is done in target, lastingly. */
  get isOverloaded(): boolean {
    return this.overloaded;
  }

  /** Takes in a dispatch; `late` if its target cannot be met any more. */
  dispatched(late: boolean, stillWaiting: number, now: number): void {
    if (this.backlogged) this.observeInterval(now - this.lastDispatch);
    this.lastDispatch = now;
    this.backlogged = stillWaiting > 0;
    this.observeLateness(late, now);
    // A queue that ran empty is the sign that capacity suffices again.
    if (!this.backlogged) this.endOverload();
  }

  /** Takes in that a call was refused because it had waited too long. */
  expired(now: number): void {
    this.observeLateness(true, now);
  }

  /** Takes in that nothing waits. */
  idle(): void {
    this.backlogged = false;
    this.endOverload();
  }

  /** Expected wait behind `ahead` calls; undefined without a fresh measure. */
  waitMs(ahead: number, now: number): number | undefined {
    if (this.intervalMs === undefined || !this.backlogged) return undefined;
    if (now - this.lastDispatch > INTERVAL_LIFETIME_MS) return undefined;
    return ahead * this.intervalMs;
  }

  private observeInterval(elapsedMs: number): void {
    const mean = this.intervalMs ?? elapsedMs;
    this.intervalMs = mean + INTERVAL_WEIGHT * (elapsedMs - mean);
  }

  private observeLateness(late: boolean, now: number): void {
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
