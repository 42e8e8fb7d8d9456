/**
 * Determines whether a revision is in force wherever requests are served. A
 * majority of seats must have had it at the same time, and every instance that
 * had not confirmed it by then must have lost its lease since, or confirmed it.
 */
import type {Cell, Peer} from './cell.js';
import {majorityOf} from './seat.js';
import {LEASE_MS} from './serving_lease.js';

/**
 * Time after which the lease of another instance has certainly ended,
 * milliseconds. Above the lease time, since clocks run at different rates.
 */
export const LEASE_WAIT_MS = LEASE_MS * 1.05;

/** Progress of the acceptance of a revision. */
export type AcceptanceState =
  | {readonly kind: 'accepted'}
  /** A majority has the revision; all leases of others end in `endsInMs`. */
  | {readonly kind: 'waiting'; readonly endsInMs: number}
  /** Fewer than a majority of seats have the revision. */
  | {readonly kind: 'spreading'; readonly confirmed: number};

/** A period in which one incarnation is known to have had the revision. */
interface Confirmation {
  readonly incarnation: string;
  readonly from: number;
  until: number;
}

/** Tracks the acceptance of one revision. */
export class Acceptance {
  /** Confirmations of the peers, by seat. */
  private readonly confirmations = new Map<number, Confirmation>();
  /** A time at which a majority of seats had the revision. */
  private majoritySince: number | undefined;
  private accepted = false;

  constructor(
    readonly revision: number,
    private readonly cell: Cell,
    /** When this instance was first known to have the revision in force. */
    private readonly ownFrom: number,
  ) {}

  /**
   * Evaluates the present state of the cell.
   *
   * @param own Whether this instance votes, and is settled.
   */
  update(
    own: {readonly voting: boolean; readonly settled: boolean},
    now: number,
  ): AcceptanceState {
    if (this.accepted) return {kind: 'accepted'};
    this.cell.peers.forEach(peer => this.confirm(peer, now));
    this.majoritySince ??= this.findAgreementTime(
      majorityOf(this.seats),
      own.voting,
      now,
    );
    if (this.majoritySince === undefined) {
      return {kind: 'spreading', confirmed: this.confirmations.size + 1};
    }
    const endsInMs = this.majoritySince + LEASE_WAIT_MS - now;
    this.accepted = endsInMs <= 0 || this.isInForceEverywhere(own.settled, now);
    return this.accepted ? {kind: 'accepted'} : {kind: 'waiting', endsInMs};
  }

  private get seats(): number {
    return this.cell.identity.seats;
  }

  private confirm(peer: Peer, now: number): void {
    const {status, holder, ackedSentAt} = peer;
    const before = this.confirmations.get(peer.seat);
    // The confirmation of a replaced holder must not count any longer.
    if (before && before.incarnation !== holder?.incarnation) {
      this.confirmations.delete(peer.seat);
    }
    if (!holder || !status) return;
    if (!status.voting || status.revision < this.revision) return;
    const known = this.confirmations.get(peer.seat);
    if (known?.incarnation === holder.incarnation) {
      known.until = Math.max(known.until, ackedSentAt);
      return;
    }
    const {incarnation} = holder;
    this.confirmations.set(peer.seat, {
      incarnation,
      from: now,
      until: ackedSentAt,
    });
  }

  /**
   * Returns a time at which `count` seats had the revision, if one is known. An
   * instance that restarts after its confirmation may have lost the revision,
   * so a time counts only if the same incarnation has confirmed the revision
   * both before and after it.
   */
  private findAgreementTime(
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

  /**
   * Whether every seat has the revision, and no earlier holder of a seat can
   * still have a lease.
   */
  private isInForceEverywhere(ownSettled: boolean, now: number): boolean {
    if (!ownSettled) return false;
    if (this.findAgreementTime(this.seats, true, now) === undefined)
      return false;
    const own = this.cell.reports(now);
    return (
      this.cell.peers.every(peer => peer.status?.settled) &&
      this.cell.peers
        .map(peer => peer.reports)
        .concat([own])
        .every(reports => this.namesOnlyConfirmed(reports))
    );
  }

  /** Whether the reports name no holder that has not confirmed the revision. */
  private namesOnlyConfirmed(reports: Peer['reports']): boolean {
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
