/** The table in which instances share what they know of contents. */
import type {ContentRowChange, CrashRecord} from '@ragworthall/balancer';
import type {Result} from 'neverthrow';
import type {
  DecodedRow,
  RowSource,
  StoreError,
} from '../platform/row_source.js';

/** Result of a write. */
export type ContentWrite =
  | {readonly kind: 'written'; readonly version: number}
  /** A row has another version; nothing was written. */
  | {
      readonly kind: 'conflict';
      /** The rows as they are; those that are missing do not exist. */
      readonly rows: readonly DecodedRow<CrashRecord>[];
    };

/** Reads and writes the rows of contents. */
export interface ContentTable extends RowSource<CrashRecord> {
  /** Writes all changes, or none of them. */
  write(
    changes: readonly ContentRowChange[],
    signal: AbortSignal,
  ): Promise<Result<ContentWrite, StoreError>>;
}
