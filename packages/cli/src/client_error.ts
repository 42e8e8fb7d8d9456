/** Errors of RPC calls to the server. */
import {Code, ConnectError} from '@connectrpc/connect';
import {
  assertNever,
  operatorRpc as rpc,
  type Problem,
} from '@ragworthall/contracts';

/** Why a call failed. */
export type ClientError =
  /** The connection could not be opened; the call did not reach the server. */
  | {readonly kind: 'unreachable'; readonly message: string}
  /** The call may have reached the server, but no response arrived. */
  | {readonly kind: 'interrupted'; readonly message: string}
  /** The server does not have the base revision yet; nothing was changed. */
  | {readonly kind: 'behind'; readonly message: string}
  /** The server refused the call; nothing was changed. */
  | {
      readonly kind: 'refused';
      readonly message: string;
      readonly problems: readonly Problem[];
    };

/** System error codes of a connection that could not be opened. */
const CONNECT_ERROR_CODES = [
  'ECONNREFUSED',
  'ENOTFOUND',
  'EAI_AGAIN',
  'EHOSTUNREACH',
  'ENETUNREACH',
];

/** RPC codes that leave it unknown whether the call took effect. */
const INTERRUPTED_CODES: readonly Code[] = [
  Code.Aborted,
  Code.Canceled,
  Code.DeadlineExceeded,
  Code.Internal,
  Code.Unavailable,
  Code.Unknown,
];

/** Converts the reason of a rejected call to a typed error. */
export function clientErrorOf(reason: unknown): ClientError {
  const err = ConnectError.from(reason);
  if (CONNECT_ERROR_CODES.includes(systemCodeOf(err.cause))) {
    return {kind: 'unreachable', message: err.rawMessage};
  }
  if (INTERRUPTED_CODES.includes(err.code)) {
    return {kind: 'interrupted', message: err.rawMessage};
  }
  if (err.code === Code.FailedPrecondition) {
    return {kind: 'behind', message: err.rawMessage};
  }
  const rejections = err.findDetails(rpc.RejectionSchema);
  const problems = rejections.flatMap(rejection => rejection.problems);
  return {kind: 'refused', message: err.rawMessage, problems};
}

/** Returns a message that states the error and its remedy. */
export function clientErrorText(err: ClientError, server: string): string {
  switch (err.kind) {
    case 'unreachable':
      return `no connection to ${server} (${err.message}); check --server and whether the instance is running`;
    case 'interrupted':
      return `no answer from ${server} (${err.message}); try again or use another instance`;
    case 'behind':
    case 'refused':
      return err.message;
    default:
      throw assertNever(err);
  }
}

function systemCodeOf(cause: unknown): string {
  if (typeof cause !== 'object' || cause === null) return '';
  const {code, cause: inner} = cause as {code?: unknown; cause?: unknown};
  return typeof code === 'string' ? code : systemCodeOf(inner);
}
