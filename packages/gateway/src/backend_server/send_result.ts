/** Results of sending a request to a backend server. */
import type {LoadReport} from '@ragworthall/balancer';
import type {BodyBuffer} from '@ragworthall/daemon';

/** A complete answer. */
export interface ServerAnswer {
  /** Id of the server that gave it. */
  readonly server: string;
  readonly status: number;
  /** Alternating names and values, including hop-by-hop headers. */
  readonly headers: readonly string[];
  readonly body: Pick<BodyBuffer, 'byteLength' | 'blocks'>;
}

/** The result of one send. */
export type SendResult =
  | {
      readonly kind: 'answered';
      readonly answer: ServerAnswer;
      readonly load: LoadReport | undefined;
    }
  /** The server reported that it did not run the request. */
  | {
      readonly kind: 'not_run';
      /** Another server uses the address. */
      readonly misplaced: boolean;
      readonly load: LoadReport | undefined;
    }
  /** No byte of the request was sent. */
  | {readonly kind: 'not_sent'; readonly detail: string}
  /** The request may have run, but there is no usable answer. */
  | {
      readonly kind: 'lost';
      readonly detail: string;
      /** Whether no whole answer came, so that the server may have ended. */
      readonly brokeOff: boolean;
    }
  /** No answer arrived in time; the request may have run. */
  | {readonly kind: 'late'}
  /** The caller disconnected; the request may have run. */
  | {readonly kind: 'abandoned'};
