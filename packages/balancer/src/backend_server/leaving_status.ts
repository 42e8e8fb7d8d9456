/**
 * Whether a backend server is leaving, by whichever source said so first, and
 * how fresh the newest sign is that it is not.
 */

/** Age at which a sign that the server is not leaving is too old, milliseconds. */
export const SERVING_CONFIRMATION_TTL_MS = 3_000;
/**
 * Time for which the server's own word that it leaves outweighs later word
 * that it serves, milliseconds: answers may come out of order.
 */
const LEAVING_HOLD_MS = 10_000;

/** Who says that a server is leaving. */
export const LeavingSource = {
  /** A header of an answer. */
  Answer: 'answer',
  /** A probe, of this instance or of a peer. */
  Probe: 'probe',
  /** Another instance that saw it. */
  Peer: 'peer',
  /** The platform's list of instances. */
  Platform: 'platform',
  /** The configuration. */
  Operator: 'operator',
} as const;

/** One of the values of {@link LeavingSource}. */
export type LeavingSource = (typeof LeavingSource)[keyof typeof LeavingSource];

/** Signs of one server. */
export class LeavingStatus {
  private saidSoAt = -Infinity;
  private platform = false;
  private operator = false;
  private lastSign = -Infinity;
  /** Word that it serves counts only if it is from after this time. */
  private wordVoidBefore = -Infinity;

  /** Whether any source says that it is leaving. */
  get isLeaving(): boolean {
    return this.platform || this.operator || this.saidSoAt > -Infinity;
  }

  /** Takes in that it is leaving. */
  mark(source: LeavingSource, now: number): void {
    switch (source) {
      case LeavingSource.Platform:
        this.platform = true;
        return;
      case LeavingSource.Operator:
        this.operator = true;
        return;
      case LeavingSource.Answer:
      case LeavingSource.Probe:
      case LeavingSource.Peer:
        this.saidSoAt = now;
        this.wordVoidBefore = now;
        this.lastSign = -Infinity;
        return;
      default:
        throw new Error(`unexpected source: ${source satisfies never}`);
    }
  }

  /** Takes back what the platform or an operator said. */
  unmark(
    source: typeof LeavingSource.Platform | typeof LeavingSource.Operator,
  ): void {
    if (source === LeavingSource.Platform) this.platform = false;
    else this.operator = false;
  }

  /** Takes in its own word, as of `asOf`, that it serves. */
  serves(asOf: number): void {
    if (asOf <= this.wordVoidBefore) return;
    if (asOf - this.saidSoAt < LEAVING_HOLD_MS) return;
    this.saidSoAt = -Infinity;
    this.lastSign = Math.max(this.lastSign, asOf);
  }

  /** Takes in that it has started again: what it said before is void. */
  restarted(): void {
    this.saidSoAt = -Infinity;
  }

  /** Whether there is a sign, younger than its lifetime, that it stays. */
  isFresh(now: number): boolean {
    return !this.isLeaving && now - this.lastSign < SERVING_CONFIRMATION_TTL_MS;
  }

  /** Time at which the newest sign is too old. */
  get freshUntil(): number {
    return this.lastSign + SERVING_CONFIRMATION_TTL_MS;
  }
}
