/**
 * Headers and load endpoint that backend servers support on top of plain HTTP.
 *
 * Each response may carry the server's load and state. A server that rejects a
 * request without running it responds with 503 and the shed header. `GET /load`
 * returns a {@link LoadReport} as JSON and costs the server several
 * milliseconds. Closing the connection cancels the request on it.
 */

/** Names of the headers. */
export const BackendHeader = {
  /** Request: id of the request, echoed in the response. */
  RequestId: 'x-request-id',
  /** Request: time left until the deadline, whole milliseconds. */
  TimeoutMs: 'x-request-timeout-ms',
  /** Request: rank, 1 to 3. */
  Rank: 'x-request-rank',
  /** Request: context that nested calls must forward unchanged. */
  CallContext: 'x-call-context',
  /** Response: number of requests in flight at the server. */
  InFlight: 'x-load-in-flight',
  /** Response: state of the server, a {@link ServerState}. */
  State: 'x-server-state',
  /** Response: `1` if the server rejected the request without running it. */
  Shed: 'x-shed',
} as const;

/** States that a backend server can report. */
export const ServerState = {
  Starting: 'starting',
  Serving: 'serving',
  Draining: 'draining',
} as const;

/** One of the values of {@link ServerState}. */
export type ServerState = (typeof ServerState)[keyof typeof ServerState];

/** Path of the load endpoint. */
export const LOAD_PATH = '/load';

/** Response body of the load endpoint. */
export interface LoadReport {
  /** Id of the backend server. */
  readonly id: string;
  readonly inFlight: number;
  readonly slots: number;
  readonly state: ServerState;
}
