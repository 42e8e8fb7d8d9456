/**
 * What a backend server states of itself in its answers. A statement ends with
 * the server process that made it.
 */

/** One statement. */
export type ServerStatement =
  /** It takes at most this many requests per second, from all instances. */
  | {readonly kind: 'limit'; readonly perS: number}
  /** It finishes what it has and takes no more. */
  | {readonly kind: 'leaving'}
  /** It wants no request from this instance for this time. */
  | {readonly kind: 'rest'; readonly ms: number};

/** Which message of a server carried its statements. */
export const StatementSource = {
  Answer: 'answer',
  HealthAnswer: 'health_answer',
} as const;

/** One of the values of {@link StatementSource}. */
export type StatementSource =
  (typeof StatementSource)[keyof typeof StatementSource];

/** The statements in one message. */
export interface StatementsOfMessage {
  readonly source: StatementSource;
  readonly statements: readonly ServerStatement[];
  /** Names and values of headers that could not be parsed. */
  readonly malformed: ReadonlyMap<string, string>;
  /** Whether the header of the limit was malformed: the known limit stays. */
  readonly isLimitUnreadable: boolean;
}

/** A change of what is believed of a server. */
export interface StatementChange {
  readonly statement: ServerStatement['kind'];
  /** Requests per second, or time on the monotonic clock; undefined if none. */
  readonly before: number | boolean | undefined;
  readonly after: number | boolean | undefined;
}
