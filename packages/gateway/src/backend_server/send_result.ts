/** What became of a request that was sent to a backend server. */
import type {LoadReport} from '@ragworthall/balancer';

/** A whole answer. */
export interface ServerAnswer {
  readonly status: number;
  /** Names and values in turn, without those of the connection. */
  readonly headers: readonly string[];
  readonly body: Buffer;
}

/** The end of one send. */
export type SendResult =
  | {
      readonly kind: 'answered';
      readonly answer: ServerAnswer;
      readonly load: LoadReport | undefined;
    }
  /** The server says that it did not run the request. */
  | {
      readonly kind: 'not_run';
      /** Another server has the address. */
      readonly misplaced: boolean;
      readonly load: LoadReport | undefined;
    }
  /** No byte of the request has left. */
  | {readonly kind: 'not_sent'; readonly detail: string}
  /** It may have run; nothing that came back can be used. */
  | {readonly kind: 'lost'; readonly detail: string}
  /** The time for it ended before an answer came; it may have run. */
  | {readonly kind: 'late'}
  /** The caller left; it may have run. */
  | {readonly kind: 'abandoned'};
