/**
 * Tracks whether a backend server is leaving, according to any source, and how
 * recently it confirmed that it is serving.
 */

/** Time for which a confirmation that the server is serving is valid, milliseconds. */
export const CONFIRMATION_TTL_MS = 3_000;
/**
 * Time for which the server's own report that it is leaving overrides later
 * reports that it is serving, milliseconds. Answers may arrive out of order.
 */
const LEAVING_HOLD_MS = 10_000;

/** Source of the information that a server is leaving. */
export const LeavingSource = {
  /** A header of an answer from the server. */
  Answer: 'answer',
  /** A probe by this instance or by a peer. */
  Probe: 'probe',
  /** Another instance that observed it. */
  Peer: 'peer',
  /** The platform's list of instances. */
  Platform: 'platform',
  /** The configuration set by an operator. */
  Operator: 'operator',
} as const;

/** One of the values of {@link LeavingSource}. */
export type LeavingSource = (typeof LeavingSource)[keyof typeof LeavingSource];

/** Leaving reports and serving confirmations of one server. */
export class LeavingStatus {
  /** Time of its own latest leaving report; -Infinity if there is none. */
  private reportedAt = -Infinity;
  /** Whether the platform's list marks it as leaving. */
  private byPlatform = false;
  /** Whether the configuration marks it as leaving. */
  private byOperator = false;
  /** Date of the latest serving confirmation. */
  private confirmedAt = -Infinity;
  /** Confirmations from this time or earlier are ignored. */
  private ignoreConfirmationsUntil = -Infinity;

  /** Whether any source reports that it is leaving. */
  get isLeaving(): boolean {
    return this.byPlatform || this.byOperator || this.reportedAt > -Infinity;
  }

  /** Records that it is leaving. */
  mark(source: LeavingSource, now: number): void {
    switch (source) {
      case LeavingSource.Platform:
        this.byPlatform = true;
        return;
      case LeavingSource.Operator:
        this.byOperator = true;
        return;
      case LeavingSource.Answer:
      case LeavingSource.Probe:
      case LeavingSource.Peer:
        this.reportedAt = now;
        this.ignoreConfirmationsUntil = now;
        this.confirmedAt = -Infinity;
        return;
      default:
        throw new Error(`unexpected leaving source: ${source satisfies never}`);
    }
  }

  /** Clears the mark set by the platform or by an operator. */
  unmark(
    source: typeof LeavingSource.Platform | typeof LeavingSource.Operator,
  ): void {
    if (source === LeavingSource.Platform) this.byPlatform = false;
    else this.byOperator = false;
  }

  /** Records its own report, dated `asOf`, that it is serving. */
  confirmServing(asOf: number): void {
    if (asOf <= this.ignoreConfirmationsUntil) return;
    if (asOf - this.reportedAt < LEAVING_HOLD_MS) return;
    this.reportedAt = -Infinity;
    this.confirmedAt = Math.max(this.confirmedAt, asOf);
  }

  /** Records a restart, which invalidates its own earlier leaving reports. */
  recordRestart(): void {
    this.reportedAt = -Infinity;
  }

  /** Whether it is not leaving and its latest confirmation is still valid. */
  isConfirmedServing(now: number): boolean {
    return !this.isLeaving && now - this.confirmedAt < CONFIRMATION_TTL_MS;
  }

  /** Time at which the latest confirmation expires. */
  get confirmedUntil(): number {
    return this.confirmedAt + CONFIRMATION_TTL_MS;
  }
}
