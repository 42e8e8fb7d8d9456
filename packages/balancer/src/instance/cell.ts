/** The cell: what this instance knows of each seat, from links and rows. */
import type {InstanceIdentity} from './fleet.js';
import {
  majorityOf,
  type SeatHolder,
  type SeatReport,
  type HeartbeatStatus,
  witnessesNeeded,
} from './seat.js';
import {LEASE_MS} from './serving_lease.js';

/** Time without a message after which a peer counts as gone, milliseconds. */
export const SILENCE_LIMIT_MS = 1_000;

/** One other seat of the cell. */
export interface Peer {
  readonly seat: number;
  holder: SeatHolder | undefined;
  /** Whether a link to the holder is open. */
  isLinked: boolean;
  lastHeardAt: number;
  status: HeartbeatStatus | undefined;
  /** When the heartbeat was sent that the newest standing answers. */
  ackedSentAt: number;
  /** What the holder knows of each seat. */
  reports: readonly SeatReport[];
  /** When the holder before this one was last heard. */
  predecessorLastHeardAt: number;
}

/** The seats of a cell as one instance sees them. */
export class Cell {
  readonly peers: readonly Peer[];
  /** Number of changes of holders. */
  holderChanges = 0;

  constructor(
    readonly identity: InstanceIdentity,
    /** This instance as its peers know it. */
    public self: SeatHolder,
  ) {
    this.peers = Array.from({length: identity.seats}, (unused, seat) =>
      vacantPeer(seat),
    ).filter(peer => peer.seat !== identity.seat);
  }

  /** The other seat with this number. */
  peer(seat: number): Peer | undefined {
    return this.peers.find(peer => peer.seat === seat);
  }

  /**
   * Takes in who holds a seat.
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

  /** Takes in what the holder of a seat says about itself. */
  recordHeartbeat(
    seat: number,
    standing: HeartbeatStatus,
    askedAt: number,
    now: number,
  ): void {
    const peer = this.peer(seat);
    if (!peer) return;
    peer.status = standing;
    peer.ackedSentAt = Math.max(peer.ackedSentAt, askedAt);
    peer.lastHeardAt = now;
  }

  /** Takes in what the holder of a seat knows of the others. */
  recordReports(seat: number, reports: readonly SeatReport[]): void {
    const peer = this.peer(seat);
    if (!peer) return;
    peer.reports = reports;
    reports.forEach((report, other) => {
      if (report.kind === 'held') this.recordHolder(other, report.holder);
    });
  }

  /** What this instance knows of each seat, by number. */
  reports(now: number): readonly SeatReport[] {
    return Array.from({length: this.identity.seats}, (unused, seat) =>
      seat === this.identity.seat
        ? {kind: 'held', holder: this.self, recent: false}
        : reportOf(this.peer(seat)!, now),
    );
  }

  /** Whether a peer's link has been heard within the limit on silence. */
  isLive(peer: Peer, now: number): boolean {
    return peer.isLinked && now - peer.lastHeardAt < SILENCE_LIMIT_MS;
  }

  /** The live peers. */
  livePeers(now: number): readonly Peer[] {
    return this.peers.filter(peer => this.isLive(peer, now));
  }

  /** Number of others that know this instance as the holder of its seat. */
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

  /** Whether enough others know this instance to count it. */
  isWitnessed(): boolean {
    return this.witnessCount() >= witnessesNeeded(this.identity.seats);
  }

  /** Whether a later incarnation is known at this instance's own seat. */
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
   * Returns the newest time at which a majority of seats had no revision newer
   * than `revision`, or -Infinity.
   *
   * @param ownVote Whether this instance counts itself.
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
  const {status: standing} = peer;
  return standing !== undefined && standing.voting
    ? standing.revision <= revision
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
