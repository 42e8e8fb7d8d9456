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

/** What one instance tells another about a table that it reads. */
export type TableUpdate<R> =
  /** All rows changed after `from`, up to `version`. */
  | {
      readonly kind: 'rows';
      readonly from: number;
      readonly version: number;
      readonly rows: readonly R[];
    }
  /** Nothing has changed after `from`, up to `version`. */
  | {
      readonly kind: 'unchanged';
      readonly from: number;
      readonly version: number;
    }
  /** Something has changed up to `version`; the rows are not included. */
  | {readonly kind: 'changed'; readonly version: number}
  /** The store does not answer the sender. */
  | {readonly kind: 'no_answer'}
  /** The store answers the sender again. */
  | {readonly kind: 'regained'};

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

/** The version up to which one table is known. */
export class TablePosition {
  private knownVersion = -1;
  /** When the known version was last confirmed to be current. */
  private confirmedAt = -Infinity;
  /** Since when a newer version is known to exist. */
  private behindSince: number | undefined;
  /** Newest version that others have announced. */
  private announcedVersion = -1;

  /** @param confirmationAgeMs Longest time without a confirmation, milliseconds. */
  constructor(
    private readonly confirmationAgeMs: number = CONFIRMATION_AGE_MS,
  ) {}

  /** The known version; -1 before the first read. */
  get version(): number {
    return this.knownVersion;
  }

  /** Time by which this instance has to read the table, milliseconds. */
  get readDueAt(): number {
    const staleAt = this.confirmedAt + this.confirmationAgeMs;
    if (this.behindSince === undefined) return staleAt;
    return Math.min(staleAt, this.behindSince + CATCH_UP_WAIT_MS);
  }

  /**
   * Records that this instance read up to a version.
   *
   * @returns False if updates from others have overtaken the read.
   */
  recordRead(version: number, now: number): boolean {
    if (version < this.knownVersion) return false;
    this.advance(version, now);
    return true;
  }

  /** Records an update from another instance; returns what to do with it. */
  recordUpdate(update: TableUpdate<unknown>, now: number): UpdateAction {
    switch (update.kind) {
      case 'rows':
      case 'unchanged': {
        const {kind, from, version} = update;
        if (this.knownVersion < 0 || version < this.knownVersion)
          return UpdateAction.None;
        if (from > this.knownVersion) return this.markBehind(version, now);
        this.advance(version, now);
        return kind === 'rows' ? UpdateAction.Apply : UpdateAction.Confirm;
      }
      case 'changed':
        if (update.version <= this.knownVersion) return UpdateAction.None;
        return this.markBehind(update.version, now);
      case 'no_answer':
      case 'regained':
        return UpdateAction.None;
      default:
        return update satisfies never;
    }
  }

  private markBehind(version: number, now: number): UpdateAction {
    this.announcedVersion = Math.max(this.announcedVersion, version);
    this.behindSince ??= now;
    return UpdateAction.Behind;
  }

  private advance(version: number, now: number): void {
    this.knownVersion = version;
    this.confirmedAt = now;
    if (version >= this.announcedVersion) this.behindSince = undefined;
  }
}
