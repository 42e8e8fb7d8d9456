/**
 * Backend servers whose registry entries expired around an outage of the
 * registry. Entries expire while the servers cannot renew them; those of live
 * servers reappear soon after the outage, and until then the servers are kept.
 */

/** Time after the first answer for which expired entries are kept, milliseconds. */
const GRACE_MS = 2_300;
/**
 * Time after an outage for which they are kept at most, milliseconds: by 3 s a
 * server that has left meanwhile gets nothing any more.
 */
const MAX_GRACE_MS = 2_900;

/** Servers that are kept although their entries have expired. */
export class LapsedServers {
  private readonly retained = new Set<string>();
  private graceEndsAt = -Infinity;

  /**
   * Records that the registry answers again.
   *
   * @param lostAt When the last call began that it did not answer: the outage may
   *     have ended any time since then, milliseconds.
   */
  registryRecovered(now: number, lostAt: number): void {
    this.graceEndsAt = Math.min(now + GRACE_MS, lostAt + MAX_GRACE_MS);
  }

  /** Keeps a server whose entry expired, if `now` is within the grace time. */
  retain(id: string, now: number): boolean {
    if (now >= this.graceEndsAt) return false;
    this.retained.add(id);
    return true;
  }

  /** Records that the entry of a server has reappeared. */
  entryReturned(id: string): void {
    this.retained.delete(id);
  }

  /** Time at which the kept servers are to be removed; undefined if none. */
  get expiresAt(): number | undefined {
    return this.retained.size > 0 ? this.graceEndsAt : undefined;
  }

  /** Returns the servers that are to be removed by now, and forgets them. */
  takeExpired(now: number): readonly string[] {
    if (now < this.graceEndsAt) return [];
    const due = [...this.retained];
    this.retained.clear();
    return due;
  }
}
