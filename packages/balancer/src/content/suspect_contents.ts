/**
 * The contents under which servers ended, as one instance knows them: the rows
 * that all instances share, and its own changes that are not yet written there.
 */
import type {Timers} from '../link/clock.js';
import {
  changedRecord,
  type ContentChange,
  type ContentStatus,
  contentStatus,
  type CrashRecord,
} from './crash_record.js';
import {RunLock} from './run_lock.js';

/** Number of contents that are known at most; the oldest rows are dropped first. */
const MAX_CONTENTS = 10_000;
/** Number of contents with unwritten changes at most; more are not recorded. */
const MAX_UNWRITTEN = 1_000;

/** The row of a content. */
export interface ContentRow {
  readonly fingerprint: string;
  /** Undefined if another writer left something that is no record. */
  readonly record: CrashRecord | undefined;
  /** Version of the row in the store. */
  readonly version: number;
}

/** A change of a row, on the condition that it still has the known version. */
export interface ContentRowChange {
  readonly fingerprint: string;
  /** The new record; undefined to remove the row. */
  readonly record: CrashRecord | undefined;
  /** The version that the row must have; 0 if it must not exist. */
  readonly expectedVersion: number;
  /** Number of unwritten changes that it includes. */
  readonly includes: number;
}

/** What one instance knows of suspect contents. */
export class SuspectContents {
  private readonly rows = new Map<string, ContentRow>();
  private readonly unwritten = new Map<string, readonly ContentChange[]>();
  private readonly locks = new Map<string, RunLock>();

  /** @param self Id of this instance. */
  constructor(
    private readonly self: string,
    private readonly timers: Timers,
  ) {}

  /** Number of contents. */
  get size(): number {
    return this.rows.size + this.unwritten.size;
  }

  /** Whether changes wait to be written. */
  get hasUnwritten(): boolean {
    return this.unwritten.size > 0;
  }

  /** Returns what holds for a content at `at`, Unix milliseconds. */
  statusOf(fingerprint: string, at: number): ContentStatus {
    return contentStatus(this.recordOf(fingerprint), this.self, at);
  }

  /** Number of known ends under a content. */
  knownEnds(fingerprint: string): number {
    return this.recordOf(fingerprint)?.ends ?? 0;
  }

  /** The lock by which one request with a content runs at a time. */
  lockOf(fingerprint: string): RunLock {
    const known = this.locks.get(fingerprint);
    if (known) return known;
    const lock: RunLock = new RunLock(this.timers, () => {
      if (lock.isUnused) this.locks.delete(fingerprint);
    });
    this.locks.set(fingerprint, lock);
    return lock;
  }

  /** Records a change of this instance, which has to be written. */
  record(fingerprint: string, change: ContentChange): void {
    const isNew = !this.unwritten.has(fingerprint);
    if (isNew && this.unwritten.size >= MAX_UNWRITTEN) return;
    this.add(fingerprint, change);
  }

  /** Replaces all rows by those of the store. */
  replaceRows(rows: readonly ContentRow[]): void {
    this.rows.clear();
    rows.forEach(row => this.putRow(row));
    this.locks.forEach(lock => lock.wakeAll());
  }

  /**
   * Replaces all rows by those of a store that was restored from an older copy.
   * What they do not say any more has to be written again.
   */
  restoreRows(rows: readonly ContentRow[]): void {
    const before = [...this.rows.values()];
    this.replaceRows(rows);
    before.forEach(({fingerprint, record}) => {
      if (record) this.add(fingerprint, {kind: 'known', record});
    });
  }

  private add(fingerprint: string, change: ContentChange): void {
    const changes = this.unwritten.get(fingerprint) ?? [];
    this.unwritten.set(fingerprint, [...changes, change]);
    const row = this.rows.get(fingerprint);
    const isUnchanged = this.recordOf(fingerprint) === row?.record;
    if (isUnchanged) this.unwritten.delete(fingerprint);
    this.locks.get(fingerprint)?.wakeAll();
  }

  /** Applies a row of the store. */
  putRow(row: ContentRow): void {
    const {fingerprint} = row;
    this.rows.set(fingerprint, row);
    const oldest = this.rows.keys().next();
    if (this.rows.size > MAX_CONTENTS && !oldest.done) {
      this.rows.delete(oldest.value);
    }
    this.locks.get(fingerprint)?.wakeAll();
  }

  /** Records that the store has no row of a content. */
  removeRow(fingerprint: string): void {
    this.rows.delete(fingerprint);
    this.locks.get(fingerprint)?.wakeAll();
  }

  /** Returns the change of a row by what is unwritten, and by `also`. */
  rowChange(fingerprint: string, also?: ContentChange): ContentRowChange {
    const known = this.recordOf(fingerprint);
    return {
      fingerprint,
      record: also ? changedRecord(known, also) : known,
      expectedVersion: this.rows.get(fingerprint)?.version ?? 0,
      includes: this.unwritten.get(fingerprint)?.length ?? 0,
    };
  }

  /** Returns the changes of up to `max` rows that wait to be written. */
  rowChanges(max: number): readonly ContentRowChange[] {
    return [...this.unwritten.keys()]
      .slice(0, max)
      .map(fingerprint => this.rowChange(fingerprint));
  }

  /** Records that the change of a row was written, as a version of the row. */
  recordWritten(change: ContentRowChange, version: number): void {
    const {fingerprint, record, includes} = change;
    const left = this.unwritten.get(fingerprint)?.slice(includes) ?? [];
    if (left.length > 0) this.unwritten.set(fingerprint, left);
    else this.unwritten.delete(fingerprint);
    if (record) this.putRow({fingerprint, record, version});
    else this.removeRow(fingerprint);
  }

  /** Fingerprints of the rows whose time is over. */
  agedRows(at: number): readonly string[] {
    return [...this.rows.values()]
      .filter(({record}) => !changedRecord(record, {kind: 'aged', at}))
      .map(({fingerprint}) => fingerprint);
  }

  private recordOf(fingerprint: string): CrashRecord | undefined {
    const changes = this.unwritten.get(fingerprint) ?? [];
    return changes.reduce<CrashRecord | undefined>(
      changedRecord,
      this.rows.get(fingerprint)?.record,
    );
  }
}
