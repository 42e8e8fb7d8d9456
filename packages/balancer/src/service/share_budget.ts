/** A budget that grows by a share of the successes, such as that for retries. */

/** Most that can be saved up. */
const MAX_TOKENS = 10;
/** What a service starts with, before its first success. */
const INITIAL_TOKENS = 5;

/**
 * Never more than `INITIAL + share * successes` is spent in all, and never more
 * than `MAX_SAVED` at once beyond the share of what succeeds meanwhile.
 */
export class ShareBudget {
  private tokens: number;

  constructor(private share: number) {
    this.tokens = share > 0 ? INITIAL_TOKENS : 0;
  }

  /** Whether one unit can be spent. */
  get hasToken(): boolean {
    return this.tokens >= 1;
  }

  /** Takes over a changed share. */
  reconfigure(share: number): void {
    this.share = share;
    if (share === 0) this.tokens = 0;
  }

  /** Adds the share of one success. */
  succeeded(): void {
    this.tokens = Math.min(MAX_TOKENS, this.tokens + this.share);
  }

  /** Spends one unit; false if the budget does not allow it. */
  trySpend(): boolean {
    if (!this.hasToken) return false;
    this.tokens -= 1;
    return true;
  }
}
