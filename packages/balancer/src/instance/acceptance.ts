/**
 * Whether a revision is in force wherever requests are served. A majority of
 * seats must have it at one moment; whoever has not confirmed it by then must
 * be past its lease, or be known to have it too.
 */
import type {Cell, Peer} from './cell.js';
import {majorityOf} from './seat.js';
import {LEASE_MS} from './serving_lease.js';

/**
 * Time after which a lease that others hold has surely ended, milliseconds;
 * above the lease time, since clocks run at different rates.
 */
export const LEASE_WAIT_MS = LEASE_MS * 1.05;

/** Where the acceptance of a revision stands. */
export type AcceptanceState =
  | {readonly kind: 'accepted'}
  /** A majority has it; the leases of the others end in this time. */
  | {readonly kind: 'waiting'; readonly endsInMs: number}
  /** Fewer than a majority of seats have it. */
  | {readonly kind: 'spreading'; readonly confirmed: number};

/** A stretch of time in which one incarnation surely had the revision. */
interface Confirmation {
  readonly incarnation: string;
  readonly from: number;
  until: number;
}

/** Follows the spread of one revision. */
export class Acceptance {
  private readonly confirmations = new Map<number, Confirmation>();
  private heldSince: number | undefined;
  private accepted = false;

  constructor(
    readonly revision: number,
    private readonly cell: Cell,
    /** When this instance took the revision in. */
    private readonly ownFrom: number,
  ) {}

  /**
   * Takes in what is known of the seats now.
   *
   * @param own Whether this instance counts in a majority, and is settled.
   */
  update(
    own: {readonly voting: boolean; readonly settled: boolean},
    now: number,
  ): AcceptanceState {
    if (this.accepted) return {kind: 'accepted'};
    this.cell.peers.forEach(peer => this.confirm(peer, now));
    this.heldSince ??= this.momentOf(majorityOf(this.seats), own.voting, now);
    if (this.heldSince === undefined) {
      return {kind: 'spreading', confirmed: this.confirmations.size + 1};
    }
    const endsInMs = this.heldSince + LEASE_WAIT_MS - now;
    this.accepted = endsInMs <= 0 || this.isEverywhere(own.settled, now);
    return this.accepted ? {kind: 'accepted'} : {kind: 'waiting', endsInMs};
  }

  private get seats(): number {
    return this.cell.identity.seats;
  }

  private confirm(peer: Peer, now: number): void {
    const {status: standing, holder, ackedSentAt: askedAt} = peer;
    const before = this.confirmations.get(peer.seat);
    // A holder that was replaced must not complete a majority afterwards.
    if (before && before.incarnation !== holder?.incarnation) {
      this.confirmations.delete(peer.seat);
    }
    if (!holder || !standing) return;
    if (!standing.voting || standing.revision < this.revision) return;
    const known = this.confirmations.get(peer.seat);
    if (known?.incarnation === holder.incarnation) {
      known.until = Math.max(known.until, askedAt);
      return;
    }
    const {incarnation} = holder;
    this.confirmations.set(peer.seat, {
      incarnation,
      from: now,
      until: askedAt,
    });
  }

  /**
   * Returns a moment at which this many seats had the revision, if known. One
   * that restarted since its confirmation may have forgotten it: a moment
   * counts only if a later answer of the same incarnation has covered it.
   */
  private momentOf(
    count: number,
    ownCounts: boolean,
    now: number,
  ): number | undefined {
    const own = {incarnation: '', from: this.ownFrom, until: now};
    const all = [...this.confirmations.values(), ...(ownCounts ? [own] : [])];
    return all
      .map(c => c.from)
      .sort((a, b) => a - b)
      .find(t => all.filter(c => c.from <= t && t <= c.until).length >= count);
  }

  /** Whether every seat has it and no earlier holder can have a lease. */
  private isEverywhere(ownSettled: boolean, now: number): boolean {
    if (!ownSettled) return false;
    if (this.momentOf(this.seats, true, now) === undefined) return false;
    const own = this.cell.reports(now);
    return (
      this.cell.peers.every(peer => peer.status?.settled) &&
      this.cell.peers
        .map(peer => peer.reports)
        .concat([own])
        .every(reports => this.agrees(reports))
    );
  }

  /** Whether reports name only the holders that confirmed. */
  private agrees(reports: Peer['reports']): boolean {
    return reports.every((report, seat) => {
      if (report.kind === 'vacant') return true;
      if (report.recent) return false;
      return report.holder.incarnation === this.incarnationAt(seat);
    });
  }

  private incarnationAt(seat: number): string | undefined {
    return seat === this.cell.identity.seat
      ? this.cell.self.incarnation
      : this.confirmations.get(seat)?.incarnation;
  }
}
