/** Limits retries to a share of the successful requests. */

/** Retries that each successful request adds to the budget. */
const RETRIES_PER_SUCCESS = 0.1;
/** Largest number of unused retries that the budget holds. */
const MAX_BALANCE = 10;

/** The retries that are currently allowed. */
export class RetryBudget {
  private balance = MAX_BALANCE;

  /** Adds the share of one successful request. */
  recordSuccess(): void {
    this.balance = Math.min(this.balance + RETRIES_PER_SUCCESS, MAX_BALANCE);
  }

  /** Spends one retry; returns false if the budget does not allow it. */
  trySpend(): boolean {
    if (this.balance < 1) return false;
    this.balance -= 1;
    return true;
  }
}
