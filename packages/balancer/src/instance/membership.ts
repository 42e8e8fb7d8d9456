/**
 * This instance's part in its cell: its lease, what it may say about itself,
 * and what follows from what the others say about themselves.
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

/** The present time on both clocks, milliseconds. */
export interface ClockReadings {
  readonly now: number;
  /** Wall clock; shows that the machine was suspended. */
  readonly wall: number;
}

/** The part of one incarnation in its cell. */
export class Membership {
  readonly cell: Cell;
  readonly lease: ServingLease;
  /** Waits for revisions to be in force wherever requests are served. */
  readonly acceptance: AcceptanceTracker;
  private readonly view: OwnershipView;
  private isStopping = false;
  /** When enough others were first seen to know this incarnation. */
  private witnessedSince = Infinity;
  private votingSince = Infinity;
  private seatWasFree = false;
  private registeredAt: number | undefined;

  /** @param wall Wall clock time at the start of the incarnation. */
  constructor(
    readonly identity: InstanceIdentity,
    self: SeatHolder,
    private readonly keeper: ReplicatedConfiguration,
    wall: number,
  ) {
    this.cell = new Cell(identity, self);
    this.lease = new ServingLease(identity.startedAt, wall);
    this.acceptance = new AcceptanceTracker(this.cell);
    this.view = new OwnershipView(identity.id);
  }

  /** Whether new work may be taken. To be asked at the moment of acting. */
  mayServe({now, wall}: ClockReadings): boolean {
    return this.lease.state(now, wall).kind === 'valid';
  }

  /** Whether this instance takes work. */
  state(at: ClockReadings): InstanceState {
    if (this.isStopping) return 'stopping';
    return this.mayServe(at) ? 'serving' : 'starting';
  }

  /** What this instance says about itself. */
  heartbeatStatus(at: ClockReadings): HeartbeatStatus {
    return {
      state: this.state(at),
      revision: this.keeper.current().revision,
      confirmedAgeMs: this.lease.tableAge(at.now),
      voting: this.isVoting(at.now),
      settled: this.isSettled(at.now),
    };
  }

  /** The instance is stopping: it owns nothing any longer. */
  markStopping(): void {
    this.isStopping = true;
  }

  /**
   * Takes in that the row of the seat was written.
   *
   * @param at When the transaction was sent.
   * @param seatWasFree Whether nobody held the seat before this incarnation.
   */
  recordRegistration(at: number, seatWasFree: boolean): void {
    this.registeredAt ??= at;
    this.seatWasFree = seatWasFree;
    if (seatWasFree) this.lease.admit(this.identity.startedAt);
    this.lease.confirmByWrite(at);
  }

  /**
   * Takes in what the holder of a seat says about itself; returns whether it is
   * the newest known holder.
   *
   * @param askedAt When the heartbeat was sent that it answers.
   */
  recordHeartbeat(
    seat: number,
    incarnation: string,
    standing: HeartbeatStatus,
    askedAt: number,
    now: number,
  ): boolean {
    const peer = this.cell.peer(seat);
    if (peer?.holder?.incarnation !== incarnation) return false;
    this.cell.recordHeartbeat(seat, standing, askedAt, now);
    const {revision} = this.keeper.current();
    const {confirmedAgeMs} = standing;
    if (standing.revision <= revision && confirmedAgeMs !== undefined) {
      this.lease.confirmByTable(askedAt - confirmedAgeMs);
    }
    return true;
  }

  /** Takes in what the holder of a seat knows of the others. */
  recordReports(seat: number, reports: readonly SeatReport[]): void {
    this.cell.recordReports(seat, reports);
    if (this.cell.isSuperseded()) this.lease.supersede();
  }

  /**
   * Draws the conclusions from what has been heard.
   *
   * @returns The instances that serve, if they have changed.
   */
  reevaluate(at: ClockReadings): readonly string[] | undefined {
    const {now} = at;
    const {revision} = this.keeper.current();
    // Looking at the clocks goes first: it may void what came before.
    this.lease.state(now, at.wall);
    this.admit(now);
    const voting = this.isVoting(now);
    const majorityAt = this.cell.majorityConfirmedAt(revision, voting, now);
    this.lease.confirmByMajority(majorityAt);
    const settled = this.isSettled(now);
    this.acceptance.update({revision, voting, settled}, now);
    return this.updateOwnership(this.state(at) === 'serving', now);
  }

  /** Who schedules the backend servers of a service. */
  ownership(serviceId: ServiceId): Ownership {
    return this.view.ownership(serviceId, this.keeper.current());
  }

  /** Addresses for callers of a service: owners first, then the others. */
  addresses(serviceId: ServiceId): readonly AddressEntry[] {
    const known = this.view.addresses(serviceId, this.keeper.current());
    const {instance, callerUrl} = this.cell.self;
    return known.length > 0 ? known : [{instance, url: callerUrl}];
  }

  /** What each instance of the cell has in force. */
  instances(at: ClockReadings): readonly InstanceStatus[] {
    const own: InstanceStatus = {
      id: this.identity.id,
      incarnation: this.identity.incarnation,
      failureDomain: this.identity.failureDomain,
      revision: this.keeper.current().revision,
      ageMs: 0,
      state: this.state(at),
    };
    const others = this.cell.peers.flatMap(peer => this.statusOf(peer, at.now));
    return [own, ...others];
  }

  private statusOf(peer: Peer, now: number): InstanceStatus[] {
    const {holder, status: standing} = peer;
    if (!holder || !standing) return [];
    return [
      {
        id: holder.instance,
        incarnation: holder.incarnation,
        failureDomain: holder.failureDomain,
        revision: standing.revision,
        ageMs: Math.max(0, now - peer.lastHeardAt),
        state: this.cell.isLive(peer, now) ? standing.state : 'unreachable',
      },
    ];
  }

  /**
   * An earlier holder that lives on may confirm revisions for the seat until
   * another instance knows of this one, or until its own row is too old.
   */
  private admit(now: number): void {
    if (this.lease.isAdmitted) return;
    const registeredAt = this.registeredAt ?? Infinity;
    const isAlone = now - registeredAt > LEASE_WAIT_MS;
    if (isAlone || this.cell.witnessCount() > 0) this.lease.admit(now);
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
    const hasChanged = this.view.update(holders);
    return hasChanged ? holders.map(h => h.instance) : undefined;
  }

  // A proof from before it was witnessed may be older than a revision that an
  // earlier holder of the seat confirmed: it must not vote by that.
  private isVoting(now: number): boolean {
    if (this.cell.isWitnessed()) {
      this.witnessedSince = Math.min(this.witnessedSince, now);
    }
    const isVoting = this.lease.hasProofSince(this.witnessedSince);
    this.votingSince = isVoting ? Math.min(this.votingSince, now) : Infinity;
    return isVoting;
  }

  private isSettled(now: number): boolean {
    if (!this.isVoting(now) || !this.lease.holdsSeat(now)) return false;
    return this.seatWasFree || now - this.votingSince > LEASE_WAIT_MS;
  }
}
