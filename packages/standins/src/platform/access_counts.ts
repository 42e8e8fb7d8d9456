/** Counters of the accesses to the platform's table and object store. */

/** Numbers of reads and writes. */
export interface ReadWriteCounts {
  reads: number;
  writes: number;
}

/** All counters, as returned by `GET /control/counts`. */
export interface CountsReport extends Readonly<ReadWriteCounts> {
  /** Transactions whose conditions failed; also counted as writes. */
  readonly conflicts: number;
  /** Keyed by the part of the row key or object name before the first `/`. */
  readonly byPrefix: Readonly<Record<string, Readonly<ReadWriteCounts>>>;
}

/** Counts accesses in total and per key prefix. */
export class AccessCounts {
  private readonly total: ReadWriteCounts = {reads: 0, writes: 0};
  private readonly byPrefix = new Map<string, ReadWriteCounts>();
  private conflicts = 0;

  /** Counts one read of a key or of all keys with a prefix. */
  countRead(key: string): void {
    this.total.reads++;
    this.countsFor(key).reads++;
  }

  /**
   * Counts one transaction or object write: once in total and once for each
   * prefix among its keys.
   */
  countWrite(keys: readonly string[]): void {
    this.total.writes++;
    new Set(keys.map(prefixOf)).forEach(
      prefix => this.countsFor(prefix).writes++,
    );
  }

  /** Counts one transaction whose conditions failed. */
  countConflict(): void {
    this.conflicts++;
  }

  /** The counts so far. */
  report(): CountsReport {
    const {reads, writes} = this.total;
    const byPrefix = Object.fromEntries(this.byPrefix);
    return {reads, writes, conflicts: this.conflicts, byPrefix};
  }

  private countsFor(key: string): ReadWriteCounts {
    const prefix = prefixOf(key);
    const known = this.byPrefix.get(prefix);
    if (known !== undefined) return known;
    const counts = {reads: 0, writes: 0};
    this.byPrefix.set(prefix, counts);
    return counts;
  }
}

function prefixOf(key: string): string {
  const slash = key.indexOf('/');
  return slash < 0 ? key : key.slice(0, slash);
}
