/**
 * Selects the instances from which one instance receives updates of the
 * platform's store. Only two instances of a large fleet read it; the others pass on
 * what they receive from them.
 */

/** Number of instances that read the store for a large fleet. */
const MAX_READERS = 2;
/** Up to this fleet size each instance reads: sharing would save nothing. */
const SMALL_FLEET_SIZE = 8;
/** Time for which an instance is skipped after one failure, milliseconds. */
const FIRST_BACKOFF_MS = 3_000;
/** Longest time for which an instance is skipped, milliseconds. */
const MAX_BACKOFF_MS = 60_000;

/** An instance, and how others reach it. */
export interface InstanceEntry {
  readonly id: string;
  readonly failureDomain: string;
  /** IP address and port for other instances. */
  readonly address: string;
  /**
   * Key of the proofs by which others show it that they are instances; earlier
   * builds have none.
   */
  readonly key?: string | undefined;
}

/** An instance to receive updates from. */
export interface UpdateSource {
  readonly instance: InstanceEntry;
  /** Whether it sends the changed rows, or only that there are changes. */
  readonly givesRows: boolean;
}

/** How long an instance is skipped after failures. */
interface Backoff {
  readonly until: number;
  readonly delayMs: number;
}

/** Selects the update sources of one instance. */
export class UpdateSources {
  /** The known instances, sorted by id. */
  instances: readonly InstanceEntry[] = [];
  /** Ids of all instances; replaced by another list whenever they change. */
  instanceIds: readonly string[] = [];
  private readonly backoffs = new Map<string, Backoff>();

  constructor(private readonly self: InstanceEntry) {}

  /** Sets the instances of the fleet. */
  setInstances(instances: readonly InstanceEntry[]): void {
    this.instances = [...instances].sort((a, b) => (a.id < b.id ? -1 : 1));
    this.instanceIds = this.instances.map(({id}) => id);
  }

  /** Adds instances to the known ones; an entry replaces that of the same id. */
  addInstances(instances: readonly InstanceEntry[]): void {
    const added = new Set(instances.map(({id}) => id));
    const kept = this.instances.filter(({id}) => !added.has(id));
    this.setInstances([...kept, ...instances]);
  }

  /** Number of known instances. */
  get size(): number {
    return this.instances.length;
  }

  /** Whether a list names this instance with its address. */
  lists(instances: readonly InstanceEntry[]): boolean {
    const {id, address, failureDomain} = this.self;
    return instances.some(
      entry =>
        entry.id === id &&
        entry.address === address &&
        entry.failureDomain === failureDomain,
    );
  }

  /** Records that an instance cannot be reached or stopped sending. */
  recordFailure(id: string, now: number): void {
    const last = this.backoffs.get(id)?.delayMs ?? FIRST_BACKOFF_MS / 2;
    const ms = Math.min(MAX_BACKOFF_MS, 2 * last);
    this.backoffs.set(id, {until: now + ms, delayMs: ms});
  }

  /** Records a message from an instance; ends its backoff. */
  recordMessage(id: string): void {
    this.backoffs.delete(id);
  }

  /** Whether the fleet is large enough for a few instances to read for all. */
  get sharesReads(): boolean {
    return this.instances.length > SMALL_FLEET_SIZE;
  }

  /**
   * Returns the instances to receive updates from now; empty if this instance
   * reads for itself. Two instances read for the whole fleet: the first of the
   * first two failure domains. The first of each other domain receives rows from
   * one of them, and the other announces changes that the first may have missed.
   * Within a domain its first instance passes the rows on, and one of the next
   * domain announces changes.
   */
  select(now: number): readonly UpdateSource[] {
    if (!this.sharesReads) return [];
    const readers = this.readers(now);
    if (readers.some(({id}) => id === this.self.id)) return [];
    const domainFirst = this.firstAvailable(this.self.failureDomain, now);
    const [rowSource, announcer] =
      domainFirst === undefined || domainFirst.id === this.self.id
        ? readers
        : [domainFirst, this.firstOfOtherDomain(now)];
    return [
      ...(rowSource ? [{instance: rowSource, givesRows: true}] : []),
      ...(announcer ? [{instance: announcer, givesRows: false}] : []),
    ];
  }

  /** The instances that read the store for the fleet, at most two. */
  private readers(now: number): readonly InstanceEntry[] {
    return this.domains
      .flatMap(domain => this.firstAvailable(domain, now) ?? [])
      .slice(0, MAX_READERS);
  }

  private firstOfOtherDomain(now: number): InstanceEntry | undefined {
    return this.otherDomains()
      .map(domain => this.firstAvailable(domain, now))
      .find(instance => instance !== undefined);
  }

  /** All failure domains, sorted. */
  private get domains(): readonly string[] {
    return [...new Set(this.instances.map(i => i.failureDomain))].sort();
  }

  /** The other failure domains in cyclic order, the next one first. */
  private otherDomains(): readonly string[] {
    const own = this.self.failureDomain;
    const after = this.domains.filter(domain => domain > own);
    return [...after, ...this.domains.filter(domain => domain < own)];
  }

  /** The first instance of a domain that is not being skipped. */
  private firstAvailable(
    domain: string,
    now: number,
  ): InstanceEntry | undefined {
    return this.instances.find(
      ({id, failureDomain}) =>
        failureDomain === domain && now >= (this.backoffs.get(id)?.until ?? 0),
    );
  }
}
