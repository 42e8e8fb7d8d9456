/** The platform's header names and formats in messages of callers and backend servers. */
import type {LoadReport, StatementsOfMessage} from '@ragworthall/balancer';

/** Header names, in lower case. */
export interface HeaderNames {
  /** Id of one attempt of a caller; backend servers echo it. */
  readonly requestId: string;
  /** Time for which the sender waits for the answer, milliseconds. */
  readonly timeLeft: string;
  /** Id of the only backend server that may run the request. */
  readonly expectedServer: string;
  /** Id of the backend server that answers. */
  readonly serverId: string;
  /** Present if the backend server did not run the request. */
  readonly notRun: string;
  /** Signature that proves that the answer comes from a backend server. */
  readonly signature: string;
  /** Load of the backend server. */
  readonly load: string;
}

/** Status and headers of a backend server's answer. */
export interface AnswerHead {
  readonly status: number;
  /** By name in lower case; repeated headers are lists. */
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
}

/** How a platform encodes the metadata of requests and answers. */
export interface WireFormat {
  readonly headers: HeaderNames;
  /** Parses the load header; undefined if it is malformed. */
  parseLoad(value: string): LoadReport | undefined;
  /**
   * Parses what a server states of itself in the head of an answer.
   *
   * @param wallNow Time of day, Unix milliseconds.
   */
  parseStatements(
    head: AnswerHead,
    wallNow: number,
  ): Omit<StatementsOfMessage, 'source'>;
}
