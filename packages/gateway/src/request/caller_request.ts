/** A caller's request and the ways in which it can end. */
import type {ServerAnswer} from '../backend_server/send_result.js';
import type {RelayTerms} from '../peer/relay_header.js';

/** A request that was read completely from its connection. */
export interface CallerRequest {
  readonly id: string;
  readonly method: string;
  /** Path and query as the caller sent them. */
  readonly target: string;
  /** Value of the `Host` header. */
  readonly host: string;
  /** Alternating names and values, as they are forwarded to a backend server. */
  readonly headers: readonly string[];
  readonly body: Uint8Array;
  /** Time of arrival on the monotonic clock, milliseconds. */
  readonly arrivedAt: number;
  /** Time for which the caller waits for the answer, milliseconds. */
  readonly timeoutMs: number;
  /** Aborted when the caller has disconnected. */
  readonly callerGone: AbortSignal;
  /** Set if another instance has passed the request on to this one. */
  readonly relay: RelayTerms | undefined;
}

/** First status code of the server error class. */
export const SERVER_ERROR = 500;

/** Why a request was not answered by a backend server. */
export const Failure = {
  /** This instance has not read the configuration or the registry yet. */
  Starting: 'starting',
  /** This instance reaches no server; others do. */
  CutOff: 'cut_off',
  /** Another instance passed it on that has another configuration. */
  OtherConfiguration: 'other_configuration',
  /** This instance stops before the request would end. */
  Stopping: 'stopping',
  NoRoute: 'no_route',
  /** No server had free capacity in time. */
  NoCapacity: 'no_room',
  /** Servers ended under requests with its content. */
  EndsServers: 'ends_servers',
  /** Every server that was tried rejected the request without running it. */
  Shed: 'shed',
  /** The request was sent, but its answer was lost. */
  Lost: 'lost',
  /** The request was sent, but no answer arrived in time. */
  Late: 'late',
  /** The deadline had passed, or nearly so, before the request was sent. */
  Expired: 'expired',
} as const;

/** A value of {@link Failure}. */
export type Failure = (typeof Failure)[keyof typeof Failure];

/** How a request ended. */
export type RequestEnd =
  | {readonly kind: 'answered'; readonly answer: ServerAnswer}
  /** The request was not run and will not be. */
  | {
      readonly kind: 'refused';
      readonly reason: Failure;
      /** Delay after which a retry makes sense, milliseconds. */
      readonly retryAfterMs: number;
    }
  | {readonly kind: 'no_route'}
  /** The request may have run. */
  | {readonly kind: 'unknown'; readonly reason: Failure}
  /** The caller has disconnected. */
  | {readonly kind: 'abandoned'};
