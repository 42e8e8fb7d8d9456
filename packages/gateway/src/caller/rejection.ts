/**
 * Messages of callers that are no request to serve. Each is answered by the server
 * itself, with a status that says that it was not run. Its connection ends where the
 * next message begins is not known, or is still far.
 */

/** Why a message is rejected. */
export const Rejection = {
  /** It is not valid HTTP/1.1. */
  Malformed: 'malformed',
  /** Its head, or its body, did not arrive in time. */
  Late: 'late',
  BodyTooLarge: 'body_too_large',
  HeadTooLarge: 'head_too_large',
  /** Other bodies, or answers that are not read, take the memory for them. */
  NoMemory: 'no_memory',
  /** It has not one id and one host. */
  Unnamed: 'unnamed',
  /** It expects something that is not known. */
  Expectation: 'expectation',
} as const;

/** A value of {@link Rejection}. */
export type Rejection = (typeof Rejection)[keyof typeof Rejection];

/** Delay after which a caller without memory may retry, seconds. */
const NO_MEMORY_RETRY_S = 1;
/** Status lines. */
const STATUS_LINES: Readonly<Record<Rejection, string>> = {
  malformed: '400 Bad Request',
  late: '408 Request Timeout',
  body_too_large: '413 Content Too Large',
  head_too_large: '431 Request Header Fields Too Large',
  no_memory: '503 Service Unavailable',
  unnamed: '400 Bad Request',
  expectation: '417 Expectation Failed',
};

/** Returns the whole answer to a rejected message. */
export function encodeRejection(rejection: Rejection): string {
  const retryAfterS = retryAfterOf(rejection);
  return (
    `HTTP/1.1 ${STATUS_LINES[rejection]}\r\n` +
    (retryAfterS === undefined ? '' : `Retry-After: ${retryAfterS}\r\n`) +
    'Connection: close\r\nContent-Length: 0\r\n\r\n'
  );
}

/** Returns the status code of the answer to a rejected message. */
export function statusOf(rejection: Rejection): number {
  return Number.parseInt(STATUS_LINES[rejection], 10);
}

/** Returns the delay for a retry in seconds; undefined if it makes no sense. */
export function retryAfterOf(rejection: Rejection): number | undefined {
  return rejection === Rejection.NoMemory ? NO_MEMORY_RETRY_S : undefined;
}

/** Returns the rejection for an error code of Node's HTTP server. */
export function rejectionOfError(code: string | undefined): Rejection {
  switch (code) {
    case 'HPE_HEADER_OVERFLOW':
      return Rejection.HeadTooLarge;
    case 'ERR_HTTP_REQUEST_TIMEOUT':
      return Rejection.Late;
    default:
      return Rejection.Malformed;
  }
}
