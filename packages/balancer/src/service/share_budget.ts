/**
 * A token bucket for retries or hedges that is refilled by successful calls:
 * each success adds a fraction of a token.
 */

/** Capacity of the bucket. */
const MAX_TOKENS = 10;
/** Tokens available before the first success. */
const INITIAL_TOKENS = 5;

/**
 * Limits retries or hedges to a share of the successful calls. In total, at most
 * `INITIAL_TOKENS + share * successes` tokens are spent. A burst spends at most `MAX_TOKENS` plus the share of the successes meanwhile.
 */
export class ShareBudget {
  private tokens: number;

  constructor(private share: number) {
    this.tokens = share > 0 ? INITIAL_TOKENS : 0;
  }

  /** Whether a token can be spent. */
  get hasToken(): boolean {
    return this.tokens >= 1;
  }

  /** Applies a changed share. */
  reconfigure(share: number): void {
    this.share = share;
    if (share === 0) this.tokens = 0;
  }

  /** Adds the tokens for one success. */
  recordSuccess(): void {
    this.tokens = Math.min(MAX_TOKENS, this.tokens + this.share);
  }

  /** Spends a token; returns false if none is available. */
  trySpend(): boolean {
    if (!this.hasToken) return false;
    this.tokens -= 1;
    return true;
  }
}
