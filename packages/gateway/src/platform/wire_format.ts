/** The platform's header names and formats in messages of callers and backend servers. */
import type {LoadReport} from '@ragworthall/balancer';

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

/** How a platform encodes the metadata of requests and answers. */
export interface WireFormat {
  readonly headers: HeaderNames;
  /** Parses the load header; undefined if it is malformed. */
  parseLoad(value: string): LoadReport | undefined;
}
