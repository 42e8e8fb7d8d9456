/** Access to one table of the platform's store. */
import type {StorePosition} from '@ragworthall/balancer';
import type {Result} from 'neverthrow';

/** A row as it is stored. */
export interface StoredRow {
  readonly key: string;
  /** Version of the store at which the row was written or removed. */
  readonly version: number;
  /** The encoded value; undefined if the row was removed. */
  readonly text?: string | undefined;
}

/** A row with its decoded value, or the reason why it has none. */
export type DecodedRow<T> =
  | {
      readonly kind: 'value';
      readonly key: string;
      readonly value: T;
      /** Version of the store at which it was written. */
      readonly version: number;
    }
  | {readonly kind: 'removed'; readonly key: string}
  /** The row does not have the expected format. */
  | {
      readonly kind: 'unreadable';
      readonly key: string;
      readonly version: number;
      readonly detail: string;
    };

/** Rows as of one version of the store. */
export interface Snapshot extends StorePosition {
  readonly rows: readonly StoredRow[];
}

/** The changes since a version of the store. */
export type Changes =
  | ({readonly kind: 'changes'} & Snapshot)
  /** The store no longer has these changes; all rows must be read again. */
  | {readonly kind: 'history_lost'};

/** Why a call to the store failed. */
export interface StoreError {
  /** Replies that are too large would take memory that requests need. */
  readonly kind: 'refused' | 'unreachable' | 'unreadable' | 'too_large';
  readonly detail: string;
}

/** Reads one table of the store. */
export interface RowSource<T> {
  /** Reads all rows. */
  read(signal: AbortSignal): Promise<Result<Snapshot, StoreError>>;
  /** Waits up to `longPollMs` for a change after `version`. */
  changes(
    version: number,
    longPollMs: number,
    signal: AbortSignal,
  ): Promise<Result<Changes, StoreError>>;
  /** Decodes the value of a row. */
  decode(row: StoredRow): DecodedRow<T>;
}
