/** Names and formats that a platform chooses for messages of callers and backend servers. */
import type {LoadReport} from '@ragworthall/balancer';

/** Header names, in lower case. */
export interface HeaderNames {
  /** Identifies one attempt of a caller; backend servers repeat it. */
  readonly requestId: string;
  /** Time for which the caller waits, milliseconds. */
  readonly timeLeft: string;
  /** Id of the only backend server that may run the request. */
  readonly expectedServer: string;
  /** Id of the backend server that answers. */
  readonly serverId: string;
  /** Says that the backend server did not run the request. */
  readonly notRun: string;
  /** Proves that a backend server made the answer. */
  readonly signature: string;
  /** Load of the backend server. */
  readonly load: string;
}

/** How requests and answers are written on a platform. */
export interface WireFormat {
  readonly headers: HeaderNames;
  /** Reads the value of the load header; undefined if it cannot be read. */
  parseLoad(value: string): LoadReport | undefined;
}
