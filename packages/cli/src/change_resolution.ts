/** Repeats a change call until the outcome of the change is known. */
import {setTimeout as sleep} from 'node:timers/promises';
import {assertNever, operatorRpc as rpc} from '@ragworthall/contracts';
import type {ClientError} from './client_error.js';
import type {Answer} from './operator_client.js';

/** Delay before the first retry, in milliseconds; doubles with each retry. */
const MIN_WAIT_MS = 100;
const MAX_WAIT_MS = 2_000;

/** Outcome of a change in a response. */
export type Outcome = rpc.ChangeResponse['outcome'];

/** Final result of retrying a change call. */
export type ChangeResolution =
  | {readonly kind: 'outcome'; readonly outcome: Outcome}
  /** The call failed; nothing was changed. */
  | {readonly kind: 'failed'; readonly err: ClientError}
  /** Aborted; if `uncertain`, the change may have been written. */
  | {
      readonly kind: 'timed_out';
      readonly uncertain: boolean;
      readonly lastReason: string;
    };

/** Result of one call. */
type AttemptResult =
  | ChangeResolution
  /** The call is repeated; `uncertain` if the change may have been written. */
  | {
      readonly kind: 'retry';
      readonly uncertain: boolean;
      readonly reason: string;
    };

/**
 * Repeats `call` until the outcome is known or `signal` aborts. Each call must
 * carry the same operation id, so that the change is written at most once.
 * `onRetry` receives the reason of each retry.
 */
export async function retryUntilResolved(
  call: () => Answer<rpc.ChangeResponse>,
  signal: AbortSignal,
  onRetry: (reason: string) => void,
): Promise<ChangeResolution> {
  let uncertain = false;
  let waitMs = MIN_WAIT_MS;
  for (;;) {
    const answer = await call();
    const result: AttemptResult = answer.match(
      res => resultOfOutcome(res.outcome, uncertain),
      err => resultOfError(err, uncertain),
    );
    if (result.kind !== 'retry') return result;
    uncertain ||= result.uncertain;
    const timedOut = {
      kind: 'timed_out',
      uncertain,
      lastReason: result.reason,
    } as const;
    if (signal.aborted) return timedOut;
    onRetry(result.reason);
    await sleep(waitMs, undefined, {signal}).catch(() => undefined);
    if (signal.aborted) return timedOut;
    waitMs = Math.min(waitMs * 2, MAX_WAIT_MS);
  }
}

function resultOfOutcome(outcome: Outcome, uncertain: boolean): AttemptResult {
  switch (outcome.case) {
    case 'pending':
      return {
        kind: 'retry',
        uncertain: true,
        reason: `revision ${outcome.value.revision} is written but not in force everywhere yet`,
      };
    case 'unresolved':
      return {
        kind: 'retry',
        uncertain: true,
        reason: 'the store did not answer; the outcome is not known yet',
      };
    case 'storeUnavailable':
      if (!uncertain) return {kind: 'outcome', outcome};
      return {
        kind: 'retry',
        uncertain,
        reason: 'the store cannot be reached; the outcome is not known yet',
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

function resultOfError(err: ClientError, uncertain: boolean): AttemptResult {
  switch (err.kind) {
    case 'interrupted':
      return {
        kind: 'retry',
        uncertain: true,
        reason: `no response arrived (${err.message})`,
      };
    case 'unreachable':
      if (!uncertain) return {kind: 'failed', err};
      return {
        kind: 'retry',
        uncertain,
        reason: `the server cannot be reached (${err.message})`,
      };
    case 'behind':
      return {kind: 'retry', uncertain, reason: err.message};
    case 'refused':
      return {kind: 'failed', err};
    default:
      throw assertNever(err);
  }
}
