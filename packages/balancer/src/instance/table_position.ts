/**
 * How far an instance has read a table of the platform's store: by itself, or
 * by what other instances pass on of their reading.
 */

/**
 * Age of the last word on a table after which an instance reads it itself,
 * milliseconds. Leaves time for one call within the shortest bound of two
 * seconds on configurations and leaving servers.
 */
const MAX_AGE_MS = 1_300;
/** Time for which the rows of a known change are waited for, milliseconds. */
const BEHIND_MS = 250;

/** What one instance tells another of a table that it reads. */
export type TableUpdate<R> =
  /** All changes after `from`, up to `version`. */
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
  /** Something has changed up to `version`. */
  | {readonly kind: 'changed'; readonly version: number}
  /** The store does not answer that instance. */
  | {readonly kind: 'no_answer'}
  /** The store answers that instance again. */
  | {readonly kind: 'regained'};

/** What to do with a piece of news. */
export const UpdateAction = {
  /** Take its rows in. */
  Apply: 'apply',
  /** What is known is current. */
  Confirm: 'confirm',
  /** Others know more than is known here. */
  Behind: 'behind',
  /** Changes nothing. */
  None: 'none',
} as const;

/** One of the values of {@link UpdateAction}. */
export type UpdateAction = (typeof UpdateAction)[keyof typeof UpdateAction];

/** How far one table is known. */
export class TablePosition {
  private known = -1;
  private confirmedAt = -Infinity;
  private behindSince: number | undefined;
  private wanted = -1;

  /** The version up to which it is known; -1 before the first read. */
  get version(): number {
    return this.known;
  }

  /** Time at which the table has to be read here, milliseconds. */
  get readDueAt(): number {
    const staleAt = this.confirmedAt + MAX_AGE_MS;
    if (this.behindSince === undefined) return staleAt;
    return Math.min(staleAt, this.behindSince + BEHIND_MS);
  }

  /**
   * Takes in that this instance read up to a version.
   *
   * @returns Whether that is news; others may have told more meanwhile.
   */
  recordRead(version: number, now: number): boolean {
    if (version < this.known) return false;
    this.advance(version, now);
    return true;
  }

  /** Takes in what another instance read. */
  recordUpdate(news: TableUpdate<unknown>, now: number): UpdateAction {
    switch (news.kind) {
      case 'rows':
      case 'unchanged': {
        const {kind, from, version} = news;
        if (this.known < 0 || version < this.known) return UpdateAction.None;
        if (from > this.known) return this.behind(version, now);
        this.advance(version, now);
        return kind === 'rows' ? UpdateAction.Apply : UpdateAction.Confirm;
      }
      case 'changed':
        if (news.version <= this.known) return UpdateAction.None;
        return this.behind(news.version, now);
      case 'no_answer':
      case 'regained':
        return UpdateAction.None;
      default:
        return news satisfies never;
    }
  }

  private behind(version: number, now: number): UpdateAction {
    this.wanted = Math.max(this.wanted, version);
    this.behindSince ??= now;
    return UpdateAction.Behind;
  }

  private advance(version: number, now: number): void {
    this.known = version;
    this.confirmedAt = now;
    if (version >= this.wanted) this.behindSince = undefined;
  }
}
