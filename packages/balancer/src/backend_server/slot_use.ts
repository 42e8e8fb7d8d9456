/** Slots of a backend server that are occupied by requests of this instance. */

/** A slot occupied by an attempt; a node of {@link SlotUseList}. */
export class SlotUse {
  /** Neighbours in order of start time. */
  older: SlotUse | undefined;
  newer: SlotUse | undefined;

  constructor(
    /** Start of the attempt on the monotonic clock, milliseconds. */
    readonly startedAt: number,
    /** Hash that identifies the content of the call. */
    readonly fingerprint: string,
    /** Whether the content is suspected of crashing servers. */
    readonly suspect: boolean,
  ) {}
}

/**
 * Occupied slots, oldest first. A linked list, so that adding, removing and
 * finding the oldest take constant time.
 */
export class SlotUseList {
  private oldest: SlotUse | undefined;
  private newest: SlotUse | undefined;
  private length = 0;
  private suspectCount = 0;

  /** Number of occupied slots. */
  get count(): number {
    return this.length;
  }

  /** Whether a call with suspect content is running. */
  get hasSuspect(): boolean {
    return this.suspectCount > 0;
  }

  /** Returns the age of the oldest attempt, milliseconds; 0 if there is none. */
  oldestAgeMs(now: number): number {
    return this.oldest ? now - this.oldest.startedAt : 0;
  }

  /** Appends the latest use. */
  add(use: SlotUse): void {
    use.older = this.newest;
    if (this.newest) this.newest.newer = use;
    else this.oldest = use;
    this.newest = use;
    this.length += 1;
    if (use.suspect) this.suspectCount += 1;
  }

  /** Removes a use; must be called once for each use. */
  remove(use: SlotUse): void {
    if (use.older) use.older.newer = use.newer;
    else this.oldest = use.newer;
    if (use.newer) use.newer.older = use.older;
    else this.newest = use.older;
    use.older = undefined;
    use.newer = undefined;
    this.length -= 1;
    if (use.suspect) this.suspectCount -= 1;
  }
}
