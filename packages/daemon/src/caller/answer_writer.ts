/** Writes HTTP responses to callers: answers and refusals. */
import {
  RefusalReason,
  refusalMessage,
  type Answer,
  type Refused,
} from '@ragworthall/balancer';
import {CallerHeader, Outcome, type Refusal} from '@ragworthall/contracts';
import {STATUS_CODES, type ServerResponse} from 'node:http';
import {forwardedAnswerHeaders, allowsBody} from './header_filter.js';
import type {CallerResult} from './caller_handler.js';
import {faultAnswer, type MessageFault} from './message_fault.js';

/** Largest body that is copied to be sent in one write with its head, bytes. */
const MAX_COMBINED_BODY_BYTES = 16_384;

/** Writes the result of a call. */
export function writeResult(res: ServerResponse, result: CallerResult): void {
  switch (result.kind) {
    case 'answered':
      return writeAnswer(res, result.answer, result.requestId);
    case 'refused':
      return writeRefusal(
        res,
        refusalStatusOf(result.reason),
        refusalOf(result),
        result.requestId,
      );
    default:
      result satisfies never;
  }
}

/** Writes the complete answer of a backend server. */
export function writeAnswer(
  res: ServerResponse,
  answer: Answer,
  requestId: string | undefined,
): void {
  const {status, body} = answer;
  const {method} = res.req;
  const headers = forwardedAnswerHeaders(
    answer.headers,
    method ?? 'GET',
    status,
  );
  headers.push(CallerHeader.Outcome, Outcome.Ran);
  if (requestId) headers.push(CallerHeader.RequestId, requestId);
  if (!allowsBody(method ?? 'GET', status)) {
    res.writeHead(status, headers);
    res.end();
    return;
  }
  // Content-Length lets the caller detect a truncated answer.
  headers.push('content-length', String(body.byteLength));
  res.writeHead(status, headers);
  if (body.byteLength > MAX_COMBINED_BODY_BYTES) {
    res.end(body);
    return;
  }
  // Node sends a string body in one write with the head; Latin-1 preserves
  // every byte.
  const {buffer, byteOffset, byteLength} = body;
  const bytes = Buffer.from(buffer, byteOffset, byteLength);
  res.end(bytes.toString('latin1'), 'latin1');
}

/** Returns the refusal to send to the caller of a refused call. */
export function refusalOf(refused: Refused): Refusal {
  const {outcome, reason, retryAfterMs} = refused;
  return {outcome, reason, message: refusalMessage(reason), retryAfterMs};
}

/** Returns the refusal to send for a faulty message. */
export function faultRefusal(
  fault: MessageFault,
  outcome: Refusal['outcome'],
): Refusal {
  const {message, retryAfterMs} = faultAnswer(fault);
  return {outcome, reason: fault, message, retryAfterMs};
}

/** Writes a refusal as JSON and in the `x-outcome` and reason headers. */
export function writeRefusal(
  res: ServerResponse,
  status: number,
  refusal: Refusal,
  requestId?: string,
): void {
  const {outcome, reason, retryAfterMs} = refusal;
  if (requestId) res.setHeader(CallerHeader.RequestId, requestId);
  res.setHeader(CallerHeader.Outcome, outcome);
  res.setHeader(CallerHeader.Reason, reason);
  if (retryAfterMs !== undefined) {
    res.setHeader('retry-after', String(Math.ceil(retryAfterMs / 1000)));
  }
  writeJson(res, status, refusal);
}

/** Writes a value as JSON. */
export function writeJson(
  res: ServerResponse,
  status: number,
  value: unknown,
): void {
  const body = JSON.stringify(value);
  res.statusCode = status;
  res.setHeader('content-type', 'application/json');
  res.setHeader('content-length', Buffer.byteLength(body));
  res.end(body);
}

/**
 * Returns the raw HTTP response that refuses a faulty message, for sockets
 * without a `ServerResponse` to write to.
 */
export function encodeFaultAnswer(fault: MessageFault): string {
  const {status, duplicateMayHaveRun} = faultAnswer(fault);
  const outcome = duplicateMayHaveRun ? Outcome.Unknown : Outcome.NotRun;
  const body = JSON.stringify(faultRefusal(fault, outcome));
  return [
    `HTTP/1.1 ${status} ${STATUS_CODES[status] ?? ''}`,
    'connection: close',
    'content-type: application/json',
    `content-length: ${Buffer.byteLength(body)}`,
    `${CallerHeader.Outcome}: ${outcome}`,
    `${CallerHeader.Reason}: ${fault}`,
    '',
    body,
  ].join('\r\n');
}

/** Returns the HTTP status code for a refusal reason. */
export function refusalStatusOf(reason: RefusalReason): number {
  switch (reason) {
    case RefusalReason.UnknownService:
    case RefusalReason.UnknownContract:
      return 404;
    case RefusalReason.RankClaimed:
    case RefusalReason.KeyMissing:
    case RefusalReason.KeyMalformed:
      return 400;
    case RefusalReason.KeyExpired:
      return 410;
    case RefusalReason.KeyReused:
    case RefusalReason.KeyHomeLost:
    case RefusalReason.AnswerNotKept:
      return 409;
    case RefusalReason.BodyTooLarge:
      return 413;
    case RefusalReason.ContentQuarantined:
      return 422;
    case RefusalReason.DepthExceeded:
      return 508;
    case RefusalReason.DeadlinePassed:
      return 504;
    case RefusalReason.ConnectionLost:
      return 502;
    case RefusalReason.LedgerFull:
    case RefusalReason.QueueFull:
    case RefusalReason.DeadlineUnreachable:
    case RefusalReason.NoBackendServer:
    case RefusalReason.MemberShareSpent:
    case RefusalReason.NotInForce:
    case RefusalReason.Stopping:
    case RefusalReason.OwnerUnreachable:
    case RefusalReason.CallerLeft:
      return 503;
    default:
      throw new Error(`unexpected reason: ${reason satisfies never}`);
  }
}
