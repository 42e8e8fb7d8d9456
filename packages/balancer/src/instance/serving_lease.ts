/**
 * The lease under which an instance takes new work. It is valid while there is
 * a proof, younger than the lease time, that no revision newer than the
 * instance's own was accepted. There are three kinds of proof; the argument for
 * them is in docs/design/configuration.md.
 */

/** Time for which a proof is valid, milliseconds. */
export const LEASE_MS = 4_000;
/**
 * Drift between wall and monotonic clock within one lease time above which the
 * machine is taken to have been suspended, milliseconds. Undetected drift plus
 * the difference of clock rates must fit into the margin of LEASE_WAIT_MS.
 */
const SUSPENSION_THRESHOLD_MS = 50;

/** State of the lease; new work may be taken only while it is valid. */
export type LeaseState =
  | {readonly kind: 'valid'; readonly endsInMs: number}
  /** There is no proof yet, or the newest one is too old. */
  | {readonly kind: 'lapsed'}
  /** A later incarnation holds the seat; this one must never serve again. */
  | {readonly kind: 'superseded'};

/** The lease of one incarnation. */
export class ServingLease {
  /** Times of the newest proof by the table, and by a majority of seats. */
  private tableProofAt = -Infinity;
  private majorityProofAt = -Infinity;
  private superseded = false;
  /** When the seat's row was last written by this incarnation. */
  private ownWriteAt = -Infinity;
  /** Proofs of earlier times are ignored. */
  private proofsCountFrom = Infinity;
  /** Wall clock minus monotonic clock, and when it was sampled. */
  private clockOffset: number;
  private clockOffsetTakenAt: number;

  /**
   * @param startedAt Start of the incarnation, monotonic milliseconds.
   * @param wall Wall clock time at `startedAt`, milliseconds.
   */
  constructor(startedAt: number, wall: number) {
    this.clockOffset = wall - startedAt;
    this.clockOffsetTakenAt = startedAt;
  }

  /** Whether there is a proof of `at` or later, not voided by a suspension. */
  hasProofSince(at: number): boolean {
    const newest = Math.max(this.tableProofAt, this.majorityProofAt);
    return newest >= at && !this.superseded;
  }

  /** Whether proofs count yet; without them there is no lease. */
  get acceptsProofs(): boolean {
    return this.proofsCountFrom < Infinity;
  }

  /**
   * Accepts proofs of `at` or later. Earlier ones are worthless: an earlier
   * holder of the seat could have confirmed a revision in place of this
   * incarnation.
   */
  acceptProofsFrom(at: number): void {
    if (!this.acceptsProofs) this.proofsCountFrom = at;
  }

  /**
   * Records that this incarnation wrote its row at time `at`. The write proves
   * that the table held no newer revision then, and no later holder.
   */
  confirmByWrite(at: number): void {
    this.ownWriteAt = Math.max(this.ownWriteAt, at);
    this.confirmByTable(at);
  }

  /** Records a proof by the table, made here or relayed by a peer. */
  confirmByTable(at: number): void {
    if (at >= this.proofsCountFrom)
      this.tableProofAt = Math.max(this.tableProofAt, at);
  }

  /** Records that at time `at` a majority of seats had no newer revision. */
  confirmByMajority(at: number): void {
    if (at >= this.proofsCountFrom)
      this.majorityProofAt = Math.max(this.majorityProofAt, at);
  }

  /** Whether this incarnation wrote its row within the last lease time. */
  holdsSeat(now: number): boolean {
    return !this.superseded && now - this.ownWriteAt < LEASE_MS;
  }

  /** Ends the lease permanently: a later incarnation holds the seat. */
  supersede(): void {
    this.superseded = true;
  }

  /** Age of the newest proof by the table, for relaying to peers. */
  tableProofAgeMs(now: number): number | undefined {
    return this.tableProofAt === -Infinity
      ? undefined
      : now - this.tableProofAt;
  }

  /**
   * Returns the state of the lease. Must be called when the work is taken,
   * since the lease can lapse at any time.
   *
   * @param now Monotonic time, milliseconds.
   * @param wall Wall clock time, milliseconds.
   */
  state(now: number, wall: number): LeaseState {
    if (this.superseded) return {kind: 'superseded'};
    this.checkSuspension(now, wall);
    const endsInMs =
      Math.max(this.tableProofAt, this.majorityProofAt) + LEASE_MS - now;
    return endsInMs > 0 ? {kind: 'valid', endsInMs} : {kind: 'lapsed'};
  }

  /**
   * Voids all proofs if the clocks have drifted apart: the monotonic clock
   * stops while the machine is suspended, so their age is unknown.
   */
  private checkSuspension(now: number, wall: number): void {
    const offset = wall - now;
    const moved = Math.abs(offset - this.clockOffset) > SUSPENSION_THRESHOLD_MS;
    if (moved || now - this.clockOffsetTakenAt >= LEASE_MS) {
      this.clockOffset = offset;
      this.clockOffsetTakenAt = now;
    }
    if (!moved) return;
    this.tableProofAt = -Infinity;
    this.majorityProofAt = -Infinity;
    this.ownWriteAt = -Infinity;
    // Answers to requests sent before the suspension prove nothing either.
    this.proofsCountFrom = Math.max(this.proofsCountFrom, now);
  }
}
