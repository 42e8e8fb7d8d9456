/** A request of a caller and the answers that it may get. */
import type {ServerAnswer} from '../backend_server/send_result.js';

/** A whole request, read from its connection. */
export interface CallerRequest {
  readonly id: string;
  readonly method: string;
  /** Path and query as the caller wrote them. */
  readonly target: string;
  /** Value of the `Host` header. */
  readonly host: string;
  /** Names and values in turn, as they go on to a backend server. */
  readonly headers: readonly string[];
  readonly body: Uint8Array;
  /** Time of arrival on the monotonic clock, milliseconds. */
  readonly arrivedAt: number;
  /** Time for which the caller waits, milliseconds. */
  readonly waitsMs: number;
  /** Aborted when the caller has left. */
  readonly left: AbortSignal;
}

/** Why a request was not answered by a backend server. */
export const Failure = {
  /** This instance knows no configuration or no servers yet. */
  Starting: 'starting',
  NoRoute: 'no_route',
  /** No server had room in time. */
  NoRoom: 'no_room',
  /** Each server that was tried said that it did not run the request. */
  Shed: 'shed',
  /** It was sent, and the answer was lost. */
  Lost: 'lost',
  /** It was sent, and no answer came in time. */
  Late: 'late',
  /** Its time had passed before it was sent. */
  Expired: 'expired',
} as const;

/** One of the values of {@link Failure}. */
export type Failure = (typeof Failure)[keyof typeof Failure];

/** How a request ended. */
export type RequestEnd =
  | {readonly kind: 'answered'; readonly answer: ServerAnswer}
  /** It has not run and will not. */
  | {
      readonly kind: 'refused';
      readonly reason: Failure;
      /** Time after which another try makes sense, milliseconds. */
      readonly retryAfterMs: number;
    }
  | {readonly kind: 'no_route'}
  /** It may have run. */
  | {readonly kind: 'unknown'; readonly reason: Failure}
  /** Nobody waits for an answer. */
  | {readonly kind: 'abandoned'};
