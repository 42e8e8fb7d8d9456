/**
 * Shares what this instance knows of contents with the other instances and with
 * those that start later, by rows of the platform's store.
 */
import {
  type ContentChange,
  type ContentRow,
  type ContentRowChange,
  type ContentStatus,
  type CrashRecord,
  PROCESS_TIMERS,
  type RunLock,
  SuspectContents,
} from '@ragworthall/balancer';
import {WakeablePause} from '../instance/pause.js';
import type {GatewayLog} from '../log/gateway_log.js';
import type {DecodedRow} from '../platform/row_source.js';
import type {RowSink} from '../platform/table_follower.js';
import {orTimeout} from '../request/promise_race.js';
import type {ContentTable} from './content_table.js';

/** Rows that one write changes at most. */
const MAX_ROWS_PER_WRITE = 50;
/** Pause before a write that failed is tried again, milliseconds. */
const WRITE_RETRY_MS = 500;
/** Interval at which rows whose time is over are removed, milliseconds. */
const AGE_INTERVAL_MS = 600_000;

/** Result of a write of rows. */
export const RowWrite = {
  Written: 'written',
  /** Another instance has changed a row; its row is known now. */
  Conflict: 'conflict',
  /** Whether it was written is unknown. */
  Failed: 'failed',
} as const;

/** One of the values of {@link RowWrite}. */
export type RowWrite = (typeof RowWrite)[keyof typeof RowWrite];

/** Follows and writes the rows of contents. */
export class SharedContents implements RowSink<CrashRecord> {
  private readonly contents: SuspectContents;
  private readonly writePause = new WakeablePause();
  private readonly stopping = new AbortController();
  private agedAt = Date.now();

  /**
   * @param self Id of this instance.
   * @param onRead Called when the rows were read, or cannot be.
   */
  constructor(
    readonly self: string,
    private readonly table: ContentTable,
    private readonly log: GatewayLog,
    private readonly onRead: () => void,
  ) {
    this.contents = new SuspectContents(self, PROCESS_TIMERS);
  }

  /** Number of contents under which servers ended. */
  get size(): number {
    return this.contents.size;
  }

  /** Returns what holds for a content at `at`, Unix milliseconds. */
  statusOf(fingerprint: string, at: number): ContentStatus {
    return this.contents.statusOf(fingerprint, at);
  }

  /** Number of known ends under a content. */
  knownEnds(fingerprint: string): number {
    return this.contents.knownEnds(fingerprint);
  }

  /** The lock by which one request with a content runs at a time. */
  lockOf(fingerprint: string): RunLock {
    return this.contents.lockOf(fingerprint);
  }

  /** Records what this instance learned; it is written soon. */
  record(fingerprint: string, change: ContentChange): void {
    this.contents.record(fingerprint, change);
    this.writePause.wake();
  }

  /** Records what this instance ran; others with the content may go on. */
  release(fingerprint: string): void {
    this.record(fingerprint, {kind: 'released', by: this.self});
  }

  /**
   * Claims the only run of a content in the fleet.
   *
   * @param until When the claim lapses, Unix milliseconds.
   * @param waitMs Time after which the claim counts as failed.
   */
  async claim(
    fingerprint: string,
    until: number,
    waitMs: number,
  ): Promise<RowWrite> {
    const change = this.contents.rowChange(fingerprint, {
      kind: 'claimed',
      claim: {by: this.self, until},
      at: Date.now(),
    });
    // Cleared meanwhile.
    if (!change.record) return RowWrite.Conflict;
    const write = this.write([change], this.stopping.signal);
    return (await orTimeout(write, waitMs)) ?? RowWrite.Failed;
  }

  replace(rows: readonly DecodedRow<CrashRecord>[]): void {
    this.contents.replaceRows(rows.flatMap(contentRow));
    this.logUnreadable(rows);
    this.onRead();
  }

  /** What is known and was lost with the store is written again. */
  replaceRestored(rows: readonly DecodedRow<CrashRecord>[]): void {
    this.contents.restoreRows(rows.flatMap(contentRow));
    this.logUnreadable(rows);
    this.writePause.wake();
  }

  update(rows: readonly DecodedRow<CrashRecord>[]): void {
    rows.forEach(row => this.apply(row));
  }

  storeLost(): void {
    this.onRead();
  }

  storeRegained(): void {
    this.writePause.wake();
  }

  /** Writes changes, and removes old rows, until the signal is aborted. */
  async run(signal: AbortSignal): Promise<void> {
    signal.addEventListener('abort', () => this.stopping.abort(), {once: true});
    while (!signal.aborted) {
      const at = Date.now();
      if (at >= this.agedAt + AGE_INTERVAL_MS) this.age(at);
      const changes = this.contents.rowChanges(MAX_ROWS_PER_WRITE);
      const written =
        changes.length > 0
          ? await this.write(changes, signal)
          : RowWrite.Written;
      if (written === RowWrite.Failed) {
        await this.writePause.wait(WRITE_RETRY_MS, signal);
      } else if (!this.contents.hasUnwritten) {
        await this.writePause.wait(AGE_INTERVAL_MS, signal);
      }
    }
  }

  private age(at: number): void {
    this.agedAt = at;
    this.contents
      .agedRows(at)
      .forEach(fingerprint =>
        this.contents.record(fingerprint, {kind: 'aged', at}),
      );
  }

  private async write(
    changes: readonly ContentRowChange[],
    signal: AbortSignal,
  ): Promise<RowWrite> {
    const written = await this.table.write(changes, signal);
    if (written.isErr()) {
      if (!signal.aborted) {
        const {kind: cause, detail} = written.error;
        this.log.dependency('contents_not_written', {cause, detail});
      }
      return RowWrite.Failed;
    }
    const result = written.value;
    switch (result.kind) {
      case 'written':
        changes.forEach(change => {
          this.contents.recordWritten(change, result.version);
          this.logRecord(change.fingerprint, change.record);
        });
        return RowWrite.Written;
      case 'conflict':
        changes.forEach(({fingerprint}) =>
          this.contents.removeRow(fingerprint),
        );
        this.update(result.rows);
        return RowWrite.Conflict;
      default:
        return result satisfies never;
    }
  }

  private apply(row: DecodedRow<CrashRecord>): void {
    switch (row.kind) {
      case 'value':
        this.contents.putRow(toContentRow(row));
        this.logRecord(row.key, row.value);
        return;
      case 'removed':
        this.contents.removeRow(row.key);
        this.logRecord(row.key, undefined);
        return;
      case 'unreadable':
        this.contents.putRow(toContentRow(row));
        this.logUnreadable([row]);
        return;
      default:
        row satisfies never;
    }
  }

  private logUnreadable(rows: readonly DecodedRow<CrashRecord>[]): void {
    rows
      .filter(row => row.kind === 'unreadable')
      .forEach(({key: content, detail}) =>
        this.log.stateChange('content_unreadable', {content, detail}),
      );
  }

  private logRecord(content: string, record: CrashRecord | undefined): void {
    this.log.stateChange('content', {
      content,
      ends: record?.ends ?? 0,
      refusedUntil: record?.refusedUntil,
      claimedBy: record?.claim?.by,
    });
  }
}

function contentRow(row: DecodedRow<CrashRecord>): readonly ContentRow[] {
  return row.kind === 'removed' ? [] : [toContentRow(row)];
}

function toContentRow(
  row: Exclude<DecodedRow<CrashRecord>, {kind: 'removed'}>,
): ContentRow {
  const {key: fingerprint, version} = row;
  const record = row.kind === 'value' ? row.value : undefined;
  return {fingerprint, record, version};
}
