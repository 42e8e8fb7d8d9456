/**
 * Membership of this instance in its cell: its serving lease, the status that
 * it sends to its peers, and the conclusions drawn from theirs.
 */
import type {AddressEntry, ServiceId} from '@ragworthall/contracts';
import type {ReplicatedConfiguration} from '../configuration/replicated_configuration.js';
import type {InstanceStatus} from '../configuration/configuration_service.js';
import {LEASE_WAIT_MS} from './acceptance.js';
import {AcceptanceTracker} from './acceptance_tracker.js';
import {Cell, type Peer} from './cell.js';
import type {InstanceIdentity, Ownership} from './fleet.js';
import {OwnershipView} from './ownership_view.js';
import type {
  InstanceState,
  SeatHolder,
  SeatReport,
  HeartbeatStatus,
} from './seat.js';
import {ServingLease} from './serving_lease.js';

/** Simultaneous readings of both clocks, milliseconds. */
export interface ClockReadings {
  /** Monotonic clock. */
  readonly now: number;
  /** Wall clock; a jump against `now` shows that the machine was suspended. */
  readonly wall: number;
}

/** Membership of one incarnation in its cell. */
export class Membership {
  readonly cell: Cell;
  readonly lease: ServingLease;
  /** Tracks whether revisions are in force wherever requests are served. */
  readonly acceptance: AcceptanceTracker;
  private readonly ownershipView: OwnershipView;
  private isStopping = false;
  /** When enough peers were first seen to know this incarnation. */
  private witnessedSince = Infinity;
  /** Start of the current period with a vote; Infinity without one. */
  private votingSince = Infinity;
  private seatWasFree = false;
  /** When the first successful write of the seat's row was sent. */
  private registeredAt: number | undefined;

  /** @param wall Wall clock time at the start of the incarnation. */
  constructor(
    readonly identity: InstanceIdentity,
    self: SeatHolder,
    private readonly configuration: ReplicatedConfiguration,
    wall: number,
  ) {
    this.cell = new Cell(identity, self);
    this.lease = new ServingLease(identity.startedAt, wall);
    this.acceptance = new AcceptanceTracker(this.cell);
    this.ownershipView = new OwnershipView(identity.id);
  }

  /**
   * Whether new work may be taken. Must be called when the work is taken, since
   * the lease can lapse at any time.
   */
  mayServe({now, wall}: ClockReadings): boolean {
    return this.lease.state(now, wall).kind === 'valid';
  }

  /** State of this instance. */
  state(at: ClockReadings): InstanceState {
    if (this.isStopping) return 'stopping';
    return this.mayServe(at) ? 'serving' : 'starting';
  }

  /** Status to send with the next heartbeat. */
  heartbeatStatus(at: ClockReadings): HeartbeatStatus {
    return {
      state: this.state(at),
      revision: this.configuration.current().revision,
      confirmedAgeMs: this.lease.tableProofAgeMs(at.now),
      voting: this.isVoting(at.now),
      settled: this.isSettled(at.now),
    };
  }

  /** Marks the instance as stopping: it owns no backend servers any more. */
  markStopping(): void {
    this.isStopping = true;
  }

  /**
   * Records that the row of the seat was written.
   *
   * @param at When the transaction was sent.
   * @param seatWasFree Whether the seat had no holder before this incarnation.
   */
  recordRegistration(at: number, seatWasFree: boolean): void {
    this.registeredAt ??= at;
    this.seatWasFree = seatWasFree;
    if (seatWasFree) this.lease.acceptProofsFrom(this.identity.startedAt);
    this.lease.confirmByWrite(at);
  }

  /**
   * Records a heartbeat of the holder of a seat.
   *
   * @param ackedSentAt Send time of this instance's heartbeat that it
   *     acknowledges.
   * @returns Whether the sender is the newest known holder.
   */
  recordHeartbeat(
    seat: number,
    incarnation: string,
    status: HeartbeatStatus,
    ackedSentAt: number,
    now: number,
  ): boolean {
    const peer = this.cell.peer(seat);
    if (peer?.holder?.incarnation !== incarnation) return false;
    this.cell.recordHeartbeat(seat, status, ackedSentAt, now);
    const {revision} = this.configuration.current();
    const {confirmedAgeMs} = status;
    if (status.revision <= revision && confirmedAgeMs !== undefined) {
      this.lease.confirmByTable(ackedSentAt - confirmedAgeMs);
    }
    return true;
  }

  /** Records what the holder of a seat knows of all seats. */
  recordReports(seat: number, reports: readonly SeatReport[]): void {
    this.cell.recordReports(seat, reports);
    if (this.cell.isSuperseded()) this.lease.supersede();
  }

  /**
   * Updates lease, acceptance and ownership from the recorded messages and the
   * time.
   *
   * @returns The serving instances, if they have changed.
   */
  reevaluate(at: ClockReadings): readonly string[] | undefined {
    const {now} = at;
    const {revision} = this.configuration.current();
    // Called first for its check of the clocks, which may void older proofs.
    this.lease.state(now, at.wall);
    this.startAcceptingProofs(now);
    const voting = this.isVoting(now);
    const majorityAt = this.cell.majorityConfirmedAt(revision, voting, now);
    this.lease.confirmByMajority(majorityAt);
    const settled = this.isSettled(now);
    this.acceptance.update({revision, voting, settled}, now);
    return this.updateOwnership(this.state(at) === 'serving', now);
  }

  /** Returns which instances schedule the backend servers of a service. */
  ownership(serviceId: ServiceId): Ownership {
    return this.ownershipView.ownership(
      serviceId,
      this.configuration.current(),
    );
  }

  /** Returns the addresses for callers of a service, owners first. */
  addresses(serviceId: ServiceId): readonly AddressEntry[] {
    const known = this.ownershipView.addresses(
      serviceId,
      this.configuration.current(),
    );
    const {instance, callerUrl} = this.cell.self;
    return known.length > 0 ? known : [{instance, url: callerUrl}];
  }

  /** Returns the status of each known instance of the cell. */
  instances(at: ClockReadings): readonly InstanceStatus[] {
    const own: InstanceStatus = {
      id: this.identity.id,
      incarnation: this.identity.incarnation,
      failureDomain: this.identity.failureDomain,
      revision: this.configuration.current().revision,
      ageMs: 0,
      state: this.state(at),
    };
    const others = this.cell.peers.flatMap(peer => this.statusOf(peer, at.now));
    return [own, ...others];
  }

  private statusOf(peer: Peer, now: number): InstanceStatus[] {
    const {holder, status} = peer;
    if (!holder || !status) return [];
    return [
      {
        id: holder.instance,
        incarnation: holder.incarnation,
        failureDomain: holder.failureDomain,
        revision: status.revision,
        ageMs: Math.max(0, now - peer.lastHeardAt),
        state: this.cell.isLive(peer, now) ? status.state : 'unreachable',
      },
    ];
  }

  /**
   * Starts to accept proofs for the lease. Until another instance knows this
   * incarnation, or the row of an earlier holder is older than any lease, that
   * holder may still be running and confirm revisions for the seat.
   */
  private startAcceptingProofs(now: number): void {
    if (this.lease.acceptsProofs) return;
    const registeredAt = this.registeredAt ?? Infinity;
    const hasEarlierLeaseEnded = now - registeredAt > LEASE_WAIT_MS;
    if (hasEarlierLeaseEnded || this.cell.witnessCount() > 0)
      this.lease.acceptProofsFrom(now);
  }

  private updateOwnership(
    isServing: boolean,
    now: number,
  ): readonly string[] | undefined {
    const others = this.cell
      .livePeers(now)
      .filter(peer => peer.status?.state === 'serving')
      .flatMap(peer => peer.holder ?? []);
    const holders = isServing ? [...others, this.cell.self] : others;
    const hasChanged = this.ownershipView.update(holders);
    return hasChanged ? holders.map(h => h.instance) : undefined;
  }

  // A proof from before this incarnation was witnessed may predate a revision
  // that an earlier holder of the seat confirmed, so it gives no vote.
  private isVoting(now: number): boolean {
    if (this.cell.isWitnessed()) {
      this.witnessedSince = Math.min(this.witnessedSince, now);
    }
    const isVoting = this.lease.hasProofSince(this.witnessedSince);
    this.votingSince = isVoting ? Math.min(this.votingSince, now) : Infinity;
    return isVoting;
  }

  /** Whether no earlier holder of the seat can still have a valid lease. */
  private isSettled(now: number): boolean {
    if (!this.isVoting(now) || !this.lease.holdsSeat(now)) return false;
    return this.seatWasFree || now - this.votingSince > LEASE_WAIT_MS;
  }
}
