/**
 * Selects the instances from which one instance receives updates of the
 * platform's store. Only the few instances that are selected by others read the
 * store; they pass on what they read.
 */

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
  private instances: readonly InstanceEntry[] = [];
  private readonly backoffs = new Map<string, Backoff>();

  constructor(private readonly self: InstanceEntry) {}

  /** Sets the instances of the fleet. */
  setInstances(instances: readonly InstanceEntry[]): void {
    this.instances = [...instances].sort((a, b) => (a.id < b.id ? -1 : 1));
  }

  /** Number of known instances. */
  get size(): number {
    return this.instances.length;
  }

  /** Whether the list names this instance with its address. */
  get isListed(): boolean {
    const {id, address, failureDomain} = this.self;
    return this.instances.some(
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
   * Returns the instances to receive updates from now. The first instance of
   * each failure domain reads for its domain, so that rows do not cross
   * domains; one of the next announces changes that the first may have missed.
   * Empty if this instance reads for itself.
   */
  select(now: number): readonly UpdateSource[] {
    if (!this.sharesReads) return [];
    const rowSource = this.firstAvailable(this.self.failureDomain, now);
    if (!rowSource || rowSource.id === this.self.id) return [];
    const announcer = this.otherDomains()
      .map(domain => this.firstAvailable(domain, now))
      .find(instance => instance !== undefined);
    return [
      {instance: rowSource, givesRows: true},
      ...(announcer ? [{instance: announcer, givesRows: false}] : []),
    ];
  }

  /** The other failure domains in cyclic order, the next one first. */
  private otherDomains(): readonly string[] {
    const own = this.self.failureDomain;
    const all = [...new Set(this.instances.map(i => i.failureDomain))].sort();
    const after = all.filter(domain => domain > own);
    return [...after, ...all.filter(domain => domain < own)];
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
