/**
 * HTTP/1.1 protocol of callers.
 *
 * `GET /v1/addresses/MEMBER/SERVICE` returns an {@link AddressAnswer}. Requests
 * go to `/s/MEMBER/SERVICE/PATH`. A request that is not idempotent carries
 * `Idempotency-Key: PREFIX.UNIQUE`, where the prefix comes from the
 * {@link AddressAnswer}. A refused request gets a {@link Refusal} as its JSON
 * body and the outcome in a header.
 */
import type {ServiceId} from '../service/service_config.js';

/** Names of the headers. */
export const CallerHeader = {
  /** Request: key that makes the request run at most once. */
  IdempotencyKey: 'idempotency-key',
  /** Request: the caller's timeout, whole milliseconds. */
  TimeoutMs: 'x-request-timeout-ms',
  /** Request: context of the call that this request is part of. */
  CallContext: 'x-call-context',
  /** Response: an {@link Outcome}. */
  Outcome: 'x-outcome',
  /** Response: reason of a refusal, as in {@link Refusal.reason}. */
  Reason: 'x-refusal-reason',
  /** Response: id of the request in the logs. */
  RequestId: 'x-request-id',
} as const;

/** Whether a request was run, as known when its response is sent. */
export const Outcome = {
  /** It ran; the response is the backend server's complete response. */
  Ran: 'ran',
  /** No backend server ran it. */
  NotRun: 'not-run',
  /** It may have run; the result is not known. */
  Unknown: 'unknown',
} as const;

/** One of the values of {@link Outcome}. */
export type Outcome = (typeof Outcome)[keyof typeof Outcome];

/** One instance that a caller may use. */
export interface AddressEntry {
  readonly instance: string;
  /** Base URL, with an IP address. */
  readonly url: string;
}

/** Instances that a caller should use for a service, and its key prefix. */
export interface AddressAnswer {
  readonly service: ServiceId;
  /** In order of preference. */
  readonly addresses: readonly AddressEntry[];
  /** Time for which the caller may cache this answer, milliseconds. */
  readonly keepForMs: number;
  /** Prefix for the keys of requests that are not idempotent. */
  readonly keyPrefix: string;
  /** Time during which keys with this prefix are accepted, milliseconds. */
  readonly keyLifetimeMs: number;
}

/** JSON body of the response to a refused request. */
export interface Refusal {
  readonly outcome: typeof Outcome.NotRun | typeof Outcome.Unknown;
  /** Machine-readable reason, in snake case. */
  readonly reason: string;
  /** What happened and what the caller can do. */
  readonly message: string;
  /** Time until a retry may succeed, milliseconds; absent if none can. */
  readonly retryAfterMs?: number;
}
