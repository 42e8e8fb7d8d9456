/**
 * Backend servers whose registry entries vanished around an outage of the
 * registry. Entries lapse while nobody can renew them; those of live servers
 * are back soon after the outage. Until then the servers are kept.
 */

/** Time after the end of an outage for which vanished entries are kept, milliseconds. */
const GRACE_MS = 2_300;

/** Entries that vanished and may come back. */
export class LapsedServers {
  private readonly missing = new Set<string>();
  private until = -Infinity;

  /** Notes that the registry answers again. */
  registryRecovered(now: number): void {
    this.until = now + GRACE_MS;
  }

  /** Whether a server whose entry vanished at `now` is kept for a while. */
  retain(id: string, now: number): boolean {
    if (now >= this.until) return false;
    this.missing.add(id);
    return true;
  }

  /** Notes that an entry is back. */
  entryReturned(id: string): void {
    this.missing.delete(id);
  }

  /** Time at which the kept ones are gone; undefined if there are none. */
  get expiresAt(): number | undefined {
    return this.missing.size > 0 ? this.until : undefined;
  }

  /** Returns the servers that are gone by now. */
  takeExpired(now: number): readonly string[] {
    if (now < this.until) return [];
    const due = [...this.missing];
    this.missing.clear();
    return due;
  }
}
