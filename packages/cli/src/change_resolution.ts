/** Asks about a change until its outcome is known. */
import {setTimeout as sleep} from 'node:timers/promises';
import {assertNever, operatorRpc as rpc} from '@ragworthall/contracts';
import type {ClientError} from './client_error.js';
import type {Answer} from './operator_client.js';

/** First wait before a call is repeated, milliseconds; it doubles. */
const MIN_WAIT_MS = 100;
const MAX_WAIT_MS = 2_000;

/** Outcome of a change as a response carries it. */
export type Outcome = rpc.ChangeResponse['outcome'];

/** What is known about a change in the end. */
export type ChangeResolution =
  | {readonly kind: 'outcome'; readonly outcome: Outcome}
  /** The call failed; nothing was changed. */
  | {readonly kind: 'failed'; readonly err: ClientError}
  /** Time is up; if `uncertain`, the change may have been written. */
  | {
      readonly kind: 'timed_out';
      readonly uncertain: boolean;
      readonly last: string;
    };

/** What one call told. */
type Step =
  | ChangeResolution
  /** Ask again; `uncertain` if the change may have been written. */
  | {
      readonly kind: 'again';
      readonly uncertain: boolean;
      readonly reason: string;
    };

/**
 * Repeats `call`, which carries the same operation id each time, until the
 * outcome is known or `signal` aborts. `onRepeat` is told why it repeats.
 */
export async function retryUntilResolved(
  call: () => Answer<rpc.ChangeResponse>,
  signal: AbortSignal,
  onRepeat: (reason: string) => void,
): Promise<ChangeResolution> {
  let uncertain = false;
  let waitMs = MIN_WAIT_MS;
  for (;;) {
    const answer = await call();
    const step: Step = answer.match(
      res => stepOfOutcome(res.outcome, uncertain),
      err => stepOfError(err, uncertain),
    );
    if (step.kind !== 'again') return step;
    uncertain ||= step.uncertain;
    const timedOut = {kind: 'timed_out', uncertain, last: step.reason} as const;
    if (signal.aborted) return timedOut;
    onRepeat(step.reason);
    await sleep(waitMs, undefined, {signal}).catch(() => undefined);
    if (signal.aborted) return timedOut;
    waitMs = Math.min(waitMs * 2, MAX_WAIT_MS);
  }
}

function stepOfOutcome(outcome: Outcome, uncertain: boolean): Step {
  switch (outcome.case) {
    case 'pending':
      return {
        kind: 'again',
        uncertain: true,
        reason: `revision ${outcome.value.revision} is written, not in force everywhere yet`,
      };
    case 'unresolved':
      return {
        kind: 'again',
        uncertain: true,
        reason: 'the store did not answer, the outcome is not known yet',
      };
    case 'storeUnavailable':
      if (!uncertain) return {kind: 'outcome', outcome};
      return {
        kind: 'again',
        uncertain,
        reason: 'the store cannot be reached, the outcome is not known yet',
      };
    case 'accepted':
    case 'conflict':
    case 'plan':
    case 'unchanged':
    case undefined:
      return {kind: 'outcome', outcome};
    default:
      throw assertNever(outcome);
  }
}

function stepOfError(err: ClientError, uncertain: boolean): Step {
  switch (err.kind) {
    case 'interrupted':
      return {
        kind: 'again',
        uncertain: true,
        reason: `the answer did not come back (${err.message})`,
      };
    case 'unreachable':
      if (!uncertain) return {kind: 'failed', err};
      return {
        kind: 'again',
        uncertain,
        reason: `the server cannot be reached (${err.message})`,
      };
    case 'behind':
      return {kind: 'again', uncertain, reason: err.message};
    case 'refused':
      return {kind: 'failed', err};
    default:
      throw assertNever(err);
  }
}
