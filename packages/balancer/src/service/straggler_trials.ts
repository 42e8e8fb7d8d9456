/**
 * Decides when a call may be sent to a straggler to check whether it has
 * recovered. Trials are rare enough not to affect the 99th percentile.
 */

/** Number of calls between two trials. */
const CALLS_PER_TRIAL = 400;
/** Number of calls between two trials once `TRIAL_INTERVAL_MS` has passed. */
const MIN_CALLS_PER_TRIAL = 150;
/**
 * Time since the last trial after which fewer calls are required, milliseconds.
 */
const TRIAL_INTERVAL_MS = 5_000;

/** Limits the trials of one service. */
export class StragglerTrials {
  /** Calls dispatched since the last trial. */
  private callsSince = 0;
  private lastTrialAt = -Infinity;

  /** Whether the next call may be a trial. */
  mayTry(now: number): boolean {
    const isDue = now - this.lastTrialAt >= TRIAL_INTERVAL_MS;
    return this.callsSince >= (isDue ? MIN_CALLS_PER_TRIAL : CALLS_PER_TRIAL);
  }

  /** Records a dispatched call. */
  recordDispatch(toStraggler: boolean, now: number): void {
    this.callsSince += 1;
    if (!toStraggler) return;
    this.callsSince = 0;
    this.lastTrialAt = now;
  }

  /** Allows the next trial at once, after a straggler has answered fast. */
  allowNext(): void {
    this.callsSince = CALLS_PER_TRIAL;
  }
}
