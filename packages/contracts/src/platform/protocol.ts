/**
 * HTTP protocol of the platform's table, object store and list of instances.
 *
 * - `POST /table/transactions` with a {@link Transaction}: 200 with a
 *   {@link TransactionResult}, 409 with a {@link TransactionConflict}.
 * - `GET /table/rows/KEY`: 200 with a {@link Row}, 404 if absent.
 * - `GET /table/rows?prefix=P`: 200 with `{rows: Row[]}`, ordered by key.
 * - `PUT /objects/NAME` and `GET /objects/NAME`: bytes.
 * - `GET /instances`: 200 with an {@link InstanceList}; with `?state=leaving`
 *   those that are leaving only.
 *
 * Reads may be stale; a transaction's conditions are checked against the
 * latest state. 503 means that the service is unavailable. After any 5xx or a
 * missing response, a transaction may still have been applied.
 */

/** A row; its version starts at 1 and increases by one with each write. */
export interface Row {
  readonly key: string;
  readonly version: number;
  readonly value: unknown;
}

/** Requires that a row has this version; 0 requires that it does not exist. */
export interface Condition {
  readonly key: string;
  readonly version: number;
}

/** Sets the value of a row; null removes the row. */
export interface Write {
  readonly key: string;
  readonly value: unknown;
}

/** Writes that are applied atomically if all conditions hold. */
export interface Transaction {
  readonly conditions: readonly Condition[];
  readonly writes: readonly Write[];
}

/** Versions of the written rows, by key. */
export interface TransactionResult {
  readonly versions: Readonly<Record<string, number>>;
}

/** Current state of the rows whose conditions failed; version 0 if absent. */
export interface TransactionConflict {
  readonly failed: readonly Row[];
}

/**
 * A live or leaving instance on the platform's list, which may be out of date.
 */
export interface ListedInstance {
  readonly id: string;
  readonly address: string;
  readonly state: 'live' | 'leaving';
}

/** The platform's list of instances. */
export interface InstanceList {
  readonly instances: readonly ListedInstance[];
}
