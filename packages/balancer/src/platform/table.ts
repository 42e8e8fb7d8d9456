/** Interface of the platform's table, independent of the protocol. */
import type {Row, Transaction, Write} from '@ragworthall/contracts';

/** Outcome of a transaction. */
export type TransactionOutcome =
  | {readonly kind: 'done'; readonly versions: Readonly<Record<string, number>>}
  /** Nothing was written; `failed` holds the rows whose conditions failed. */
  | {readonly kind: 'conflict'; readonly failed: readonly Row[]}
  /** No answer was received; the rows may have been written. */
  | {readonly kind: 'unknown'; readonly detail: string}
  /** The table could not be reached; nothing was written. */
  | {readonly kind: 'unavailable'; readonly detail: string};

/** Outcome of a read. */
export type ReadOutcome =
  | {readonly kind: 'rows'; readonly rows: readonly Row[]}
  | {readonly kind: 'unavailable'; readonly detail: string};

/** The platform's table. Its methods never reject. */
export interface Table {
  transact(tx: Transaction): Promise<TransactionOutcome>;
  /** Reads one row; the result is empty if it is absent. May be stale. */
  read(key: string): Promise<ReadOutcome>;
  /** Reads the rows whose keys begin with `prefix`, sorted by key. May be stale. */
  list(prefix: string): Promise<ReadOutcome>;
}

/** Creates a write of one row. */
export function put(key: string, value: unknown): Write {
  return {key, value};
}
