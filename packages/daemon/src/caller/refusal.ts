/** What the caller of a refused request is told. */
import {
  type CallResult,
  refusedNotRun,
  refusedOutcomeUnknown,
  RefusalReason,
  type Refused,
} from '@ragworthall/balancer';
import {CallerHeader, Outcome, type Refusal} from '@ragworthall/contracts';
import type {IncomingMessage} from 'node:http';
import {faultRefusal, refusalOf, refusalStatusOf} from './answer_writer.js';
import type {CallHandler} from './caller_handler.js';
import {requestHeadOf, singleValue} from './caller_request.js';
import {
  faultAnswer,
  type MessageFault,
  recordedReason,
} from './message_fault.js';
import {parseTarget} from './request_target.js';

/** Refusal of calls that come when a stop has no time left; others can run them. */
export const REFUSED_STOPPING: Refused = refusedNotRun(
  RefusalReason.Stopping,
  100,
);

/** Names a stop as the reason why a call was ended without its caller leaving. */
export function asEndedByStop(result: CallResult): CallResult {
  if (result.kind !== 'refused') return result;
  if (result.reason !== RefusalReason.CallerLeft) return result;
  return result.outcome === Outcome.NotRun
    ? REFUSED_STOPPING
    : refusedOutcomeUnknown(RefusalReason.Stopping);
}

/**
 * Creates the refusal to send. Its outcome comes from the record of the request's
 * key if there is one: another copy of the request, sent under the same key, may
 * have run.
 */
export async function createRefusal(
  handler: CallHandler,
  req: IncomingMessage,
  refusal: Refused | MessageFault,
): Promise<Refusal> {
  const refused =
    typeof refusal === 'string'
      ? refusedNotRun(recordedReason(refusal))
      : refusal;
  const target = parseTarget(req.url ?? '/');
  const key = singleValue(req.headers[CallerHeader.IdempotencyKey]);
  const isKeyed = target.kind === 'service' && key !== undefined;
  const result = isKeyed
    ? await handler.refuse(requestHeadOf(req, target, key), refused)
    : refused;
  const outcome = result.kind === 'refused' ? result.outcome : Outcome.Unknown;
  return typeof refusal === 'string'
    ? faultRefusal(refusal, outcome)
    : {...refusalOf(refusal), outcome};
}

/** Returns the status code of a refusal. */
export function statusOfRefusal(refusal: Refused | MessageFault): number {
  return typeof refusal === 'string'
    ? faultAnswer(refusal).status
    : refusalStatusOf(refusal.reason);
}
