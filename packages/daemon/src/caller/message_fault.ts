/**
 * Faults for which a request is rejected before it becomes a call. Each has a
 * status code and a message. No faulty message reaches a backend server.
 */
import {RefusalReason} from '@ragworthall/balancer';

/** Faults of a caller's message; the values are sent as refusal reasons. */
export const MessageFault = {
  MessageMalformed: 'message_malformed',
  FramingAmbiguous: 'framing_ambiguous',
  HeaderMalformed: 'header_malformed',
  HeaderRepeated: 'header_repeated',
  HeadersTooLarge: 'headers_too_large',
  TargetMalformed: 'target_malformed',
  VersionUnsupported: 'version_unsupported',
  ExpectationUnsupported: 'expectation_unsupported',
  CodingUnsupported: 'coding_unsupported',
  TimeoutMalformed: 'timeout_malformed',
  RequestTooSlow: 'request_too_slow',
  ConnectionsExhausted: 'connections_exhausted',
  BodyMemoryExhausted: 'body_memory_exhausted',
  ContextMalformed: 'context_malformed',
  ContextForged: 'context_forged',
  ContextExpired: 'context_expired',
} as const;

/** One of the values of {@link MessageFault}. */
export type MessageFault = (typeof MessageFault)[keyof typeof MessageFault];

/** Error code of Node's HTTP parser for a message whose connection ends within it. */
export const TRUNCATED_CODE = 'HPE_INVALID_EOF_STATE';

/** The parts of the HTTP response for a fault. */
export interface FaultAnswer {
  /** HTTP status code. */
  readonly status: number;
  /** Describes the fault and its remedy. */
  readonly message: string;
  /** Delay before a retry can succeed, milliseconds; absent if none can. */
  readonly retryAfterMs?: number;
  /**
   * Whether the fault can occur before the request's key is read and does not
   * lie in the request's content. Another copy of the request may then have
   * run, so the outcome is unknown.
   */
  readonly duplicateMayHaveRun?: boolean;
}

/** Retry delay for callers when connections or body memory are exhausted. */
const EXHAUSTED_RETRY_AFTER_MS = 1_000;

const FAULT_ANSWERS: Readonly<Record<MessageFault, FaultAnswer>> = {
  message_malformed: {
    status: 400,
    message: 'the message is not valid HTTP/1.1; check the client library',
  },
  framing_ambiguous: {
    status: 400,
    message:
      'the length of the body is ambiguous; send either one Content-Length or Transfer-Encoding: chunked',
  },
  header_malformed: {
    status: 400,
    message:
      'a header has bytes that are not allowed, or is folded over lines; send each header on one line of printable characters',
  },
  header_repeated: {
    status: 400,
    message: 'a header that may stand once is repeated; send it once',
  },
  headers_too_large: {
    status: 431,
    message: 'the headers are over the limit; send fewer or shorter ones',
  },
  target_malformed: {
    status: 400,
    message:
      'the request target is malformed; send a path without dot segments, with valid percent-encoding',
  },
  version_unsupported: {
    status: 505,
    message: 'the HTTP version is not supported; use HTTP/1.1',
  },
  expectation_unsupported: {
    status: 417,
    message: 'the expectation is unknown; send only Expect: 100-continue',
  },
  coding_unsupported: {
    status: 501,
    message: 'the transfer coding is not supported; use chunked alone',
  },
  timeout_malformed: {
    status: 400,
    message:
      'x-request-timeout-ms is malformed; send whole milliseconds, such as 250',
  },
  request_too_slow: {
    status: 408,
    message: 'the request did not arrive in time; send it faster',
    duplicateMayHaveRun: true,
  },
  connections_exhausted: {
    status: 503,
    message:
      'this instance has as many connections as it allows; reuse one, or use another address',
    retryAfterMs: EXHAUSTED_RETRY_AFTER_MS,
    duplicateMayHaveRun: true,
  },
  body_memory_exhausted: {
    status: 503,
    message:
      'the memory for bodies is in use; try again later or at another address',
    retryAfterMs: EXHAUSTED_RETRY_AFTER_MS,
  },
  context_malformed: {
    status: 400,
    message:
      'x-call-context is malformed; pass the header on as it was received',
  },
  context_forged: {
    status: 403,
    message:
      'x-call-context was not issued by this cell; pass the header on as it was received',
  },
  context_expired: {
    status: 504,
    message: 'the deadline of the call above has passed; stop nesting calls',
  },
};

/** Returns the parts of the HTTP response for a fault. */
export function faultAnswer(fault: MessageFault): FaultAnswer {
  return FAULT_ANSWERS[fault];
}

/** Returns the closest reason to store in the record of the request's key. */
export function recordedReason(fault: MessageFault): RefusalReason {
  switch (fault) {
    case MessageFault.BodyMemoryExhausted:
      return RefusalReason.MemberShareSpent;
    case MessageFault.ContextExpired:
      return RefusalReason.DeadlinePassed;
    case MessageFault.RequestTooSlow:
      return RefusalReason.CallerLeft;
    default:
      return RefusalReason.UnknownContract;
  }
}

/** Maps an error code of Node's HTTP server to a fault. */
export function faultOfParserError(code: string | undefined): MessageFault {
  switch (code) {
    case 'HPE_HEADER_OVERFLOW':
      return MessageFault.HeadersTooLarge;
    case 'ERR_HTTP_REQUEST_TIMEOUT':
      return MessageFault.RequestTooSlow;
    case 'HPE_INVALID_TRANSFER_ENCODING':
    case 'HPE_INVALID_CONTENT_LENGTH':
    case 'HPE_UNEXPECTED_CONTENT_LENGTH':
      return MessageFault.FramingAmbiguous;
    case 'HPE_INVALID_HEADER_TOKEN':
      return MessageFault.HeaderMalformed;
    case 'HPE_INVALID_URL':
      return MessageFault.TargetMalformed;
    default:
      return MessageFault.MessageMalformed;
  }
}
