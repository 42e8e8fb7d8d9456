/** A table of the platform's store, as a follower reads it. */
import type {Result} from 'neverthrow';

/** One row as the store has it. */
export interface StoredRow {
  readonly key: string;
  /** Version of the store at which it was written or removed. */
  readonly version: number;
  /** The encoded value; left out if the row was removed. */
  readonly text?: string | undefined;
}

/** One row: its value, or why there is none. */
export type DecodedRow<T> =
  | {readonly kind: 'value'; readonly key: string; readonly value: T}
  | {readonly kind: 'removed'; readonly key: string}
  /** The row was written by someone else, or in another format. */
  | {
      readonly kind: 'unreadable';
      readonly key: string;
      readonly detail: string;
    };

/** All rows at one version of the store. */
export interface Snapshot {
  readonly rows: readonly StoredRow[];
  readonly version: number;
}

/** What has changed since a version. */
export type Changes =
  | ({readonly kind: 'changes'} & Snapshot)
  /** The store no longer knows; the table must be read in whole. */
  | {readonly kind: 'history_lost'};

/** Why the store gave no answer. */
export interface StoreError {
  readonly kind: 'refused' | 'unreachable' | 'unreadable';
  readonly detail: string;
}

/** Reads one table. */
export interface RowSource<T> {
  /** Reads all rows. */
  read(signal: AbortSignal): Promise<Result<Snapshot, StoreError>>;
  /** Waits up to `waitMs` for a change after `version`. */
  changes(
    version: number,
    waitMs: number,
    signal: AbortSignal,
  ): Promise<Result<Changes, StoreError>>;
  /** Reads the value of a row. */
  decode(row: StoredRow): DecodedRow<T>;
}
