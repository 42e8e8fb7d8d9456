/**
 * From which instances one instance has news of the platform's store. A few
 * read it and pass on what they read; whom others listen to reads.
 */

/** Fleets up to this size read by themselves: passing on would save nothing. */
const SMALL_FLEET = 8;
/** First time for which an instance that failed is passed over, milliseconds. */
const FIRST_PAUSE_MS = 3_000;
/** Longest such time, milliseconds. */
const MAX_PAUSE_MS = 60_000;

/** An instance as the others reach it. */
export interface InstanceEntry {
  readonly id: string;
  readonly failureDomain: string;
  /** IP address and port for other instances. */
  readonly address: string;
}

/** An instance that is listened to. */
export interface UpdateSource {
  readonly instance: InstanceEntry;
  /** Whether it passes on rows, or only tells that there are changes. */
  readonly givesRows: boolean;
}

interface Pause {
  readonly until: number;
  readonly ms: number;
}

/** The choice of one instance. */
export class UpdateSources {
  private instances: readonly InstanceEntry[] = [];
  private readonly pauses = new Map<string, Pause>();

  constructor(private readonly self: InstanceEntry) {}

  /** Takes in the instances of the fleet. */
  setInstances(instances: readonly InstanceEntry[]): void {
    this.instances = [...instances].sort((a, b) => (a.id < b.id ? -1 : 1));
  }

  /** Known instances. */
  get size(): number {
    return this.instances.length;
  }

  /** Takes in that an instance cannot be reached, or fell silent. */
  recordFailure(id: string, now: number): void {
    const last = this.pauses.get(id)?.ms ?? FIRST_PAUSE_MS / 2;
    const ms = Math.min(MAX_PAUSE_MS, 2 * last);
    this.pauses.set(id, {until: now + ms, ms});
  }

  /** Takes in that an instance told something. */
  recordMessage(id: string): void {
    this.pauses.delete(id);
  }

  /** Whether there are enough instances for some to read for the others. */
  get sharesReads(): boolean {
    return this.instances.length > SMALL_FLEET;
  }

  /**
   * Whom to listen to now. The first instance of each failure domain reads for
   * its domain, so that rows cross no domain; one of the next domain tells if
   * that one has missed something. Empty if this instance reads for itself.
   */
  select(now: number): readonly UpdateSource[] {
    if (!this.sharesReads) return [];
    const own = this.firstOf(this.self.failureDomain, now);
    if (!own || own.id === this.self.id) return [];
    const witness = this.otherDomains()
      .map(domain => this.firstOf(domain, now))
      .find(instance => instance !== undefined);
    return [
      {instance: own, givesRows: true},
      ...(witness ? [{instance: witness, givesRows: false}] : []),
    ];
  }

  /** The other failure domains, the next one first. */
  private otherDomains(): readonly string[] {
    const own = this.self.failureDomain;
    const all = [...new Set(this.instances.map(i => i.failureDomain))].sort();
    const after = all.filter(domain => domain > own);
    return [...after, ...all.filter(domain => domain < own)];
  }

  /** The first instance of a domain that is not passed over. */
  private firstOf(domain: string, now: number): InstanceEntry | undefined {
    return this.instances.find(
      ({id, failureDomain}) =>
        failureDomain === domain && now >= (this.pauses.get(id)?.until ?? 0),
    );
  }
}
