/**
 * Limits the rate at which one instance queries backend servers for their load,
 * so that all instances together stay within the bound of each server.
 */

/** Fraction of the bound that is used; the rest is left for unknown instances. */
const USED_FRACTION = 0.5;
/** Time for which unused tokens accumulate, milliseconds. */
const MAX_BURST_MS = 1_000;
/** Minimum number of instances assumed, as the list may be incomplete. */
const MIN_INSTANCES = 4;
const MS_PER_S = 1_000;

/** Values that determine the rate. */
export interface ProbeRateInputs {
  /** Maximum queries to each server per second, from all instances. */
  readonly perServerPerS: number;
  /** Number of servers that may be queried. */
  readonly servers: number;
  /** Number of known instances. */
  readonly instances: number;
}

/** Token bucket for the queries of one instance to all servers. */
export class ProbeRateLimiter {
  private tokens = 0;
  private refilledAt = -Infinity;
  private tokensPerMs = 0;
  private rateUpdatedAt = -Infinity;

  /** @param inputs Returns the current inputs. */
  constructor(private readonly inputs: () => ProbeRateInputs) {}

  /** Takes a token for one query; returns false if none is available. */
  tryTake(now: number): boolean {
    // Counting servers and instances is costly, and the counts change slowly.
    if (now - this.rateUpdatedAt >= MS_PER_S) {
      this.tokensPerMs = this.tokensPerSecond / MS_PER_S;
      this.rateUpdatedAt = now;
    }
    const {tokensPerMs} = this;
    const elapsedMs = Math.min(MAX_BURST_MS, now - this.refilledAt);
    this.refilledAt = now;
    this.tokens = Math.min(
      MAX_BURST_MS * tokensPerMs,
      this.tokens + elapsedMs * tokensPerMs,
    );
    if (this.tokens < 1) return false;
    this.tokens -= 1;
    return true;
  }

  /** Queries allowed per second. */
  private get tokensPerSecond(): number {
    const {perServerPerS, servers, instances} = this.inputs();
    const sharingInstances = Math.max(MIN_INSTANCES, instances);
    return (USED_FRACTION * perServerPerS * servers) / sharingInstances;
  }
}
