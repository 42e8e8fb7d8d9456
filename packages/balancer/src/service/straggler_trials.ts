/**
 * When a call may be sent to a straggler to see if it has recovered. Trials
 * are rare enough to leave the 99th percentile alone.
 */

/** Calls between two that are sent to see if a straggler has recovered. */
const CALLS_PER_TRIAL = 400;
/** Least calls between them, once the time between two has passed. */
const MIN_CALLS_PER_TRIAL = 150;
/** Time between two trials, milliseconds. */
const TRIAL_INTERVAL_MS = 5_000;

/** The trials of one service. */
export class StragglerTrials {
  private callsSince = 0;
  private lastTrialAt = -Infinity;

  /** Whether the next call may be a trial. */
  mayTry(now: number): boolean {
    const intervalPassed = now - this.lastTrialAt >= TRIAL_INTERVAL_MS;
    return (
      this.callsSince >=
      (intervalPassed ? MIN_CALLS_PER_TRIAL : CALLS_PER_TRIAL)
    );
  }

  /** Takes in a dispatched call. */
  dispatched(toStraggler: boolean, now: number): void {
    this.callsSince += 1;
    if (!toStraggler) return;
    this.callsSince = 0;
    this.lastTrialAt = now;
  }

  /** Takes in that a straggler was fast: it may be tried again at once. */
  allowNext(): void {
    this.callsSince = CALLS_PER_TRIAL;
  }
}
