/**
 * How often one instance may ask backend servers for their load, so that all
 * instances together stay within what the servers bear.
 */

/** Part of the bound that is used; the rest covers instances that are not known. */
const USED_PART = 0.5;
/** Time whose allowance may be saved up, milliseconds. */
const SAVED_MS = 1_000;
/** Instances that are assumed at least, while the list may not be whole. */
const MIN_INSTANCES = 4;
const MS_PER_S = 1_000;

/** What the allowance follows from. */
export interface ProbeRateInputs {
  /** Bound on the questions to each server in a second, over all instances. */
  readonly perServerPerS: number;
  /** Servers that may be asked. */
  readonly servers: number;
  /** Known instances. */
  readonly instances: number;
}

/** The questions of one instance to all servers. */
export class ProbeRateLimiter {
  private saved = 0;
  private at = -Infinity;
  private perMs = 0;
  private readAt = -Infinity;

  /** @param terms Returns the present terms. */
  constructor(private readonly terms: () => ProbeRateInputs) {}

  /** Takes one question; false if it would be too many. */
  tryTake(now: number): boolean {
    // Servers and instances change slowly, and counting them takes time.
    if (now - this.readAt >= MS_PER_S) {
      this.perMs = this.perSecond / MS_PER_S;
      this.readAt = now;
    }
    const {perMs} = this;
    const sinceMs = Math.min(SAVED_MS, now - this.at);
    this.at = now;
    this.saved = Math.min(SAVED_MS * perMs, this.saved + sinceMs * perMs);
    if (this.saved < 1) return false;
    this.saved -= 1;
    return true;
  }

  /** Questions in a second. */
  private get perSecond(): number {
    const {perServerPerS, servers, instances} = this.terms();
    const sharers = Math.max(MIN_INSTANCES, instances);
    return (USED_PART * perServerPerS * servers) / sharers;
  }
}
