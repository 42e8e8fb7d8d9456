/**
 * Tracks up to which version an instance knows a table of the platform's store,
 * from its own reads and from updates that other instances pass on.
 */

/**
 * Age of the last confirmation that a table is current after which the instance
 * reads it itself, milliseconds. Leaves time for one read within the shortest
 * bound on staleness, two seconds for configurations and leaving servers.
 */
export const CONFIRMATION_AGE_MS = 1_300;
/** Time to wait for others to send the rows of a known change, milliseconds. */
const CATCH_UP_WAIT_MS = 250;

/**
 * A version of the store. It may be restored from an older copy, which begins
 * another era: versions are given out again.
 */
export interface StorePosition {
  /** 0 if the store names none. */
  readonly era: number;
  readonly version: number;
}

/** What one instance tells another about a table that it reads. */
export type TableUpdate<R> =
  /** All rows changed after version `from` of the same era. */
  | ({
      readonly kind: 'rows';
      readonly from: number;
      readonly rows: readonly R[];
    } & StorePosition)
  /** Nothing has changed after version `from` of the same era. */
  | ({readonly kind: 'unchanged'; readonly from: number} & StorePosition)
  /** Something has changed up to this position; the rows are not included. */
  | ({readonly kind: 'changed'} & StorePosition)
  /** The store does not answer the sender. */
  | {readonly kind: 'no_answer'}
  /** The store answers the sender again. */
  | {readonly kind: 'regained'};

/** What a read of the whole table means. */
export const ReadVerdict = {
  /** Its rows are the newest known. */
  Newest: 'newest',
  /** Updates from others have overtaken it, or it is stale. */
  Overtaken: 'overtaken',
  /** The store was restored from an older copy; its rows are what it has now. */
  Restored: 'restored',
} as const;

/** One of the values of {@link ReadVerdict}. */
export type ReadVerdict = (typeof ReadVerdict)[keyof typeof ReadVerdict];

/** What to do with an update. */
export const UpdateAction = {
  /** Apply its rows. */
  Apply: 'apply',
  /** The known version is current. */
  Confirm: 'confirm',
  /** Others know a newer version; its rows are missing here. */
  Behind: 'behind',
  /** Ignore it. */
  None: 'none',
} as const;

/** One of the values of {@link UpdateAction}. */
export type UpdateAction = (typeof UpdateAction)[keyof typeof UpdateAction];

const UNKNOWN: StorePosition = {era: 0, version: -1};

/** The position up to which one table is known. */
export class TablePosition {
  private known = UNKNOWN;
  /** When the known position was last confirmed to be current. */
  private confirmedAt = -Infinity;
  /** Since when a newer position is known to exist. */
  private behindSince: number | undefined;
  /** Newest position that others have announced. */
  private announced = UNKNOWN;

  /** @param confirmationAgeMs Longest time without a confirmation, milliseconds. */
  constructor(
    private readonly confirmationAgeMs: number = CONFIRMATION_AGE_MS,
  ) {}

  /** The known position; its version is -1 before the first read. */
  get current(): StorePosition {
    return this.known;
  }

  /** Whether the store is said to be in a later era than the known position. */
  get awaitsEra(): boolean {
    return this.announced.era > this.known.era;
  }

  /** Time by which this instance has to read the table, milliseconds. */
  get readDueAt(): number {
    const staleAt = this.confirmedAt + this.confirmationAgeMs;
    if (this.behindSince === undefined) return staleAt;
    return Math.min(staleAt, this.behindSince + CATCH_UP_WAIT_MS);
  }

  /**
   * Records that this instance read the whole table.
   *
   * @param startedAt The position that was known when the read began.
   */
  recordRead(
    read: StorePosition,
    startedAt: StorePosition,
    now: number,
  ): ReadVerdict {
    const isFirst = this.known === UNKNOWN;
    if (!isFirst && isRestored(read, startedAt)) {
      this.advanceByRead(read, now);
      return ReadVerdict.Restored;
    }
    if (isBefore(read, this.known)) return ReadVerdict.Overtaken;
    this.advanceByRead(read, now);
    return ReadVerdict.Newest;
  }

  /**
   * Records that this instance read the changes since a position.
   *
   * @returns What of them is news; restored if they are the changes of another
   *     era, so that the table has to be read.
   */
  recordChanges(
    read: StorePosition,
    from: StorePosition,
    now: number,
  ): ReadVerdict {
    if (isRestored(read, from)) return ReadVerdict.Restored;
    if (isBefore(read, this.known)) return ReadVerdict.Overtaken;
    this.advanceByRead(read, now);
    return ReadVerdict.Newest;
  }

  /** Records the era of the store; returns whether it is a later one. */
  recordEra(era: number, now: number): boolean {
    if (this.known === UNKNOWN || era <= this.known.era) return false;
    this.markBehind({era, version: 0}, now);
    return true;
  }

  /** Records an update from another instance; returns what to do with it. */
  recordUpdate(update: TableUpdate<unknown>, now: number): UpdateAction {
    switch (update.kind) {
      case 'rows':
      case 'unchanged': {
        const {kind, era, from, version} = update;
        const position = {era, version};
        if (this.known === UNKNOWN || isBefore(position, this.known))
          return UpdateAction.None;
        const isJoined = era === this.known.era && from <= this.known.version;
        if (!isJoined) return this.markBehind(position, now);
        this.advance(position, now);
        return kind === 'rows' ? UpdateAction.Apply : UpdateAction.Confirm;
      }
      case 'changed': {
        const {era, version} = update;
        const position = {era, version};
        if (!isBefore(this.known, position)) return UpdateAction.None;
        return this.markBehind(position, now);
      }
      case 'no_answer':
      case 'regained':
        return UpdateAction.None;
      default:
        return update satisfies never;
    }
  }

  private markBehind(position: StorePosition, now: number): UpdateAction {
    if (isBefore(this.announced, position)) this.announced = position;
    this.behindSince ??= now;
    return UpdateAction.Behind;
  }

  private advanceByRead(read: StorePosition, now: number): void {
    // The store itself has just named its era.
    if (this.announced.era > read.era) this.announced = read;
    this.advance(read, now);
  }

  private advance({era, version}: StorePosition, now: number): void {
    this.known = {era, version};
    this.confirmedAt = now;
    if (!isBefore(this.known, this.announced)) this.behindSince = undefined;
  }
}

/**
 * Whether the store was restored between a position and a later read. One that
 * names no era gives itself away by an older version.
 */
function isRestored(read: StorePosition, before: StorePosition): boolean {
  if (read.era !== before.era) return true;
  return read.era === 0 && read.version < before.version;
}

function isBefore(a: StorePosition, b: StorePosition): boolean {
  return a.era === b.era ? a.version < b.version : a.era < b.era;
}
