/** The platform's table: versioned rows and their recent history. */
import type {
  Condition,
  Row,
  Transaction,
  TransactionConflict,
  TransactionResult,
  Write,
} from '@ragworthall/contracts';

/** How far back reads can go, in milliseconds. */
export const HISTORY_MS = 60_000;

/** Result of a transaction. */
export type CommitResult =
  | ({readonly kind: 'committed'} & TransactionResult)
  | ({readonly kind: 'conflict'} & TransactionConflict);

/** A row from a commit on; `row` is undefined if the commit removed it. */
interface Revision {
  readonly committedAtMs: number;
  readonly row: Row | undefined;
}

/** Rows by key. All times are in milliseconds on the same monotonic clock. */
export class Table {
  /** Revisions by key, oldest first; the last one is the current state. */
  private readonly histories = new Map<string, Revision[]>();
  /** Keys of {@link histories}, sorted. */
  private readonly keys: string[] = [];

  /** Applies all writes of a transaction if all its conditions hold. */
  commit(transaction: Transaction, now: number): CommitResult {
    const failed = transaction.conditions
      .filter(condition => !this.conditionHolds(condition))
      .map(condition => this.newestRowOrAbsent(condition.key));
    if (failed.length > 0) return {kind: 'conflict', failed};
    const versions = transaction.writes.map(
      write => [write.key, this.write(write, now)] as const,
    );
    return {kind: 'committed', versions: Object.fromEntries(versions)};
  }

  /** The row as of a point in time; undefined if it did not exist. */
  read(key: string, asOf: number): Row | undefined {
    return this.histories
      .get(key)
      ?.findLast(revision => revision.committedAtMs <= asOf)?.row;
  }

  /** The rows with a key prefix as of a point in time, sorted by key. */
  scan(prefix: string, asOf: number): Row[] {
    const rows: Row[] = [];
    for (let i = this.lowerBound(prefix); i < this.keys.length; i++) {
      const key = this.keys[i]!;
      if (!key.startsWith(prefix)) break;
      const row = this.read(key, asOf);
      if (row !== undefined) rows.push(row);
    }
    return rows;
  }

  private conditionHolds(condition: Condition): boolean {
    return this.newestVersion(condition.key) === condition.version;
  }

  private newestVersion(key: string): number {
    return this.newestRow(key)?.version ?? 0;
  }

  private newestRow(key: string): Row | undefined {
    return this.histories.get(key)?.at(-1)?.row;
  }

  private newestRowOrAbsent(key: string): Row {
    return this.newestRow(key) ?? {key, version: 0, value: null};
  }

  /** Writes or removes a row; returns its new version, 0 for a removal. */
  private write({key, value}: Write, now: number): number {
    const version = value === null ? 0 : this.newestVersion(key) + 1;
    const row = value === null ? undefined : {key, version, value};
    const history = this.historyOf(key);
    history.push({committedAtMs: now, row});
    pruneHistory(history, now - HISTORY_MS);
    return version;
  }

  private historyOf(key: string): Revision[] {
    const known = this.histories.get(key);
    if (known !== undefined) return known;
    const history: Revision[] = [];
    this.histories.set(key, history);
    this.keys.splice(this.lowerBound(key), 0, key);
    return history;
  }

  /** Index of the first key that is not less than the given one. */
  private lowerBound(key: string): number {
    let low = 0;
    let high = this.keys.length;
    while (low < high) {
      const middle = (low + high) >>> 1;
      if (this.keys[middle]! < key) low = middle + 1;
      else high = middle;
    }
    return low;
  }
}

/** Removes the revisions that no read at or after the given time can see. */
function pruneHistory(history: Revision[], earliestReadMs: number): void {
  const oldest = history.findLastIndex(
    revision => revision.committedAtMs <= earliestReadMs,
  );
  if (oldest > 0) history.splice(0, oldest);
}
