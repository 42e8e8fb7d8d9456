/**
 * One instance's view of the seats of its cell, built from heartbeats and seat
 * reports of its peers and from the registration rows of the table.
 */
import type {InstanceIdentity} from './fleet.js';
import {
  majorityOf,
  type SeatHolder,
  type SeatReport,
  type HeartbeatStatus,
  witnessesNeeded,
} from './seat.js';
import {LEASE_MS} from './serving_lease.js';

/** Time without a message after which a peer is not live, milliseconds. */
export const SILENCE_LIMIT_MS = 1_000;

/** What this instance knows of another seat of the cell. */
export interface Peer {
  readonly seat: number;
  holder: SeatHolder | undefined;
  /** Whether the link to the holder is open. */
  isLinked: boolean;
  /** Time of the holder's last heartbeat, or of the opening of its link. */
  lastHeardAt: number;
  /** The holder's newest heartbeat status. */
  status: HeartbeatStatus | undefined;
  /**
   * Send time of this instance's newest heartbeat that the holder has
   * acknowledged; the status is no older than that.
   */
  ackedSentAt: number;
  /** The holder's own view of each seat, by seat number. */
  reports: readonly SeatReport[];
  /** When the previous holders of the seat were last heard. */
  predecessorLastHeardAt: number;
}

/** The seats of a cell, as seen by one instance. */
export class Cell {
  readonly peers: readonly Peer[];
  /** Number of times that a new holder was recorded for a seat. */
  holderChanges = 0;

  constructor(
    readonly identity: InstanceIdentity,
    /** How this instance presents itself to its peers. */
    public self: SeatHolder,
  ) {
    this.peers = Array.from({length: identity.seats}, (unused, seat) =>
      vacantPeer(seat),
    ).filter(peer => peer.seat !== identity.seat);
  }

  /** Returns the peer at a seat; undefined for this instance's own seat. */
  peer(seat: number): Peer | undefined {
    return this.peers.find(peer => peer.seat === seat);
  }

  /**
   * Records the holder of a seat, unless a later incarnation is known there.
   *
   * @returns Whether `holder` is the newest known holder.
   */
  recordHolder(seat: number, holder: SeatHolder): boolean {
    const peer = this.peer(seat);
    if (!peer) return false;
    const known = peer.holder?.incarnation ?? '';
    if (holder.incarnation < known) return false;
    if (holder.incarnation > known) {
      replaceHolder(peer);
      this.holderChanges += 1;
    }
    peer.holder = holder;
    return true;
  }

  /** Records a heartbeat of the holder of a seat. */
  recordHeartbeat(
    seat: number,
    status: HeartbeatStatus,
    ackedSentAt: number,
    now: number,
  ): void {
    const peer = this.peer(seat);
    if (!peer) return;
    peer.status = status;
    peer.ackedSentAt = Math.max(peer.ackedSentAt, ackedSentAt);
    peer.lastHeardAt = now;
  }

  /** Records the seat reports of a holder, and any newer holders they name. */
  recordReports(seat: number, reports: readonly SeatReport[]): void {
    const peer = this.peer(seat);
    if (!peer) return;
    peer.reports = reports;
    reports.forEach((report, other) => {
      if (report.kind === 'held') this.recordHolder(other, report.holder);
    });
  }

  /** Reports what this instance knows of each seat, by seat number. */
  reports(now: number): readonly SeatReport[] {
    return Array.from({length: this.identity.seats}, (unused, seat) =>
      seat === this.identity.seat
        ? {kind: 'held', holder: this.self, recent: false}
        : reportOf(this.peer(seat)!, now),
    );
  }

  /** Whether a peer is linked and was heard within {@link SILENCE_LIMIT_MS}. */
  isLive(peer: Peer, now: number): boolean {
    return peer.isLinked && now - peer.lastHeardAt < SILENCE_LIMIT_MS;
  }

  livePeers(now: number): readonly Peer[] {
    return this.peers.filter(peer => this.isLive(peer, now));
  }

  /** Number of peers that report this instance as the holder of its seat. */
  witnessCount(): number {
    const own = this.identity.seat;
    return this.peers.filter(peer => {
      const report = peer.reports[own];
      return (
        report?.kind === 'held' &&
        report.holder.incarnation === this.self.incarnation
      );
    }).length;
  }

  /** Whether enough peers know this instance for it to vote. */
  isWitnessed(): boolean {
    return this.witnessCount() >= witnessesNeeded(this.identity.seats);
  }

  /** Whether a peer reports a later incarnation at this instance's own seat. */
  isSuperseded(): boolean {
    return this.peers.some(peer => {
      const report = peer.reports[this.identity.seat];
      return (
        report?.kind === 'held' &&
        report.holder.incarnation > this.self.incarnation
      );
    });
  }

  /**
   * Returns the latest time at which a majority of seats are known to have had
   * no revision newer than `revision`; -Infinity if there is none.
   *
   * @param ownVote Whether this instance counts towards the majority.
   */
  majorityConfirmedAt(revision: number, ownVote: boolean, now: number): number {
    const votes = this.peers
      .filter(peer => isVote(peer, revision))
      .map(peer => peer.ackedSentAt)
      .concat(ownVote ? [now] : [])
      .sort((a, b) => b - a);
    return votes[majorityOf(this.identity.seats) - 1] ?? -Infinity;
  }
}

function isVote(peer: Peer, revision: number): boolean {
  const {status} = peer;
  return status !== undefined && status.voting
    ? status.revision <= revision
    : false;
}

function vacantPeer(seat: number): Peer {
  return {
    seat,
    holder: undefined,
    isLinked: false,
    lastHeardAt: -Infinity,
    status: undefined,
    ackedSentAt: -Infinity,
    reports: [],
    predecessorLastHeardAt: -Infinity,
  };
}

function replaceHolder(peer: Peer): void {
  peer.predecessorLastHeardAt = Math.max(
    peer.predecessorLastHeardAt,
    peer.lastHeardAt,
  );
  peer.isLinked = false;
  peer.lastHeardAt = -Infinity;
  peer.status = undefined;
  peer.ackedSentAt = -Infinity;
  peer.reports = [];
}

function reportOf(peer: Peer, now: number): SeatReport {
  if (!peer.holder) return {kind: 'vacant'};
  const recent = now - peer.predecessorLastHeardAt < LEASE_MS;
  return {kind: 'held', holder: peer.holder, recent};
}
