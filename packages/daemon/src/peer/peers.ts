/**
 * The other instances of the cell: links to them, this instance's lease, and
 * who schedules what. One task runs for each link, each address that is
 * dialled, and the table.
 */
import {
  type Clock,
  type ReplicatedConfiguration,
  type Fleet,
  type InstanceIdentity,
  type InstanceState,
  type InstanceStatus,
  type KeyHome,
  Membership,
  type ClockReadings,
  type Ownership,
  type PeerHandlers,
  type RequestKey,
  type SeatHolder,
  type SeatReport,
  type ChangePropagator,
  type HeartbeatStatus,
} from '@ragworthall/balancer';
import type {
  AddressEntry,
  ChangeRecord,
  ServiceId,
} from '@ragworthall/contracts';
import {
  changeMessage,
  ConfigurationExchange,
} from './configuration_exchange.js';
import {Dialler} from './dialler.js';
import {
  HEARTBEAT_MS,
  type LinkEvents,
  type PeerConnection,
} from './peer_connection.js';
import {type LinkLog, Links} from './links.js';
import {type MessageOf, PEER_CODEC, type PeerMessage} from './message.js';
import {PeerListener} from './peer_listener.js';
import type {FleetHooks} from '../platform/seat_renewal_task.js';
import {PeerSocket} from './peer_socket.js';

/** Bytes above a body that a message may take. */
const MESSAGE_MARGIN = 4 * 1_048_576;

/** Where notable events of the fleet go. */
export interface FleetLog extends LinkLog {
  /** A message of a later version was ignored. */
  ignored(link: PeerConnection, kind: string): void;
  /** The instances that serve have changed. */
  servingChanged(instances: readonly string[]): void;
}

/** What the peers need. */
export interface PeersOptions {
  readonly identity: InstanceIdentity;
  readonly listen: {readonly host: string; readonly port: number};
  /** Shared secret of the cell. */
  readonly secret: string;
  /** Addresses to dial whatever the table says. */
  readonly seeds: readonly string[];
  /** Bytes of the largest body. */
  readonly bodyBytes: number;
  readonly configuration: ReplicatedConfiguration;
  readonly handlers: PeerHandlers;
  readonly clock: Clock;
  /** The wall clock, milliseconds. */
  readonly wallClock: () => number;
  /** Returns a random number from 0 to 1. */
  readonly random: () => number;
  readonly log: FleetLog;
}

/** The other instances of the cell. */
export class Peers
  implements Fleet, ChangePropagator, LinkEvents, FleetHooks, AsyncDisposable
{
  readonly membership: Membership;
  readonly clock: Clock;
  readonly handlers: PeerHandlers;
  private readonly links: Links;
  private readonly dialler: Dialler;
  private readonly exchange: ConfigurationExchange;
  private readonly listeners = new Set<() => void>();
  private readonly timer: NodeJS.Timeout;
  private readonly subscription: Disposable;
  private sentReports = '';
  private reportedChanges = -1;

  private constructor(
    private readonly options: PeersOptions,
    private readonly listener: PeerListener<PeerMessage>,
  ) {
    const {identity, configuration: keeper, clock} = options;
    this.clock = clock;
    this.handlers = options.handlers;
    this.membership = new Membership(
      identity,
      holderOf(identity, listener.address, ''),
      keeper,
      options.wallClock(),
    );
    const {cell} = this.membership;
    this.links = new Links(cell, options.secret, this, options.log);
    this.dialler = new Dialler(this.runLink.bind(this), options.random);
    this.exchange = new ConfigurationExchange(keeper);
    this.timer = setInterval(() => this.tick(), HEARTBEAT_MS);
    this.subscription = keeper.onChanged(() => this.revisionChanged());
    keeper.setPropagator(this);
  }

  /** Binds the address for peers; nothing is accepted before {@link join}. */
  static async listen(options: PeersOptions): Promise<Peers> {
    const {host, port} = options.listen;
    const max = options.bodyBytes + MESSAGE_MARGIN;
    return new Peers(
      options,
      await PeerListener.listen(host, port, PEER_CODEC, max),
    );
  }

  /** Address for links from other instances. */
  get address(): string {
    return this.listener.address;
  }

  /** What this instance is doing. */
  get state(): InstanceState {
    return this.membership.state(this.moment());
  }

  /** Calls passed to other instances, and theirs that run here. */
  get callsInFlight(): number {
    return this.links.all
      .map(link => link.callsInFlight + link.callsServed)
      .reduce((a, b) => a + b, 0);
  }

  /**
   * Starts to link to the other instances.
   *
   * @param callerUrl Base URL of this instance for callers.
   */
  join(callerUrl: string): void {
    const {cell, identity} = this.membership;
    cell.self = holderOf(identity, this.address, callerUrl);
    this.listener.onSocket(socket => void this.links.run(socket, 'acceptor'));
    this.updateLinkTargets();
  }

  /** Tells the other instances that this one is stopping. */
  leave(): void {
    this.membership.markStopping();
    this.reevaluate();
    this.links.all.forEach(link => link.beat(false));
  }

  updateLinkTargets(): void {
    const {cell, identity} = this.membership;
    const lower = cell.peers
      .filter(peer => peer.seat < identity.seat)
      .flatMap(peer => peer.holder?.peerAddress ?? []);
    const seeds = this.options.seeds.filter(seed => seed !== this.address);
    this.dialler.setTargets([...new Set([...lower, ...seeds])]);
    this.links.closeSuperseded();
  }

  mayServe(now: number): boolean {
    return this.membership.mayServe({now, wall: this.options.wallClock()});
  }

  ownership(serviceId: ServiceId, unusedNow: number): Ownership {
    return this.membership.ownership(serviceId);
  }

  addresses(serviceId: ServiceId, unusedNow: number): readonly AddressEntry[] {
    return this.membership.addresses(serviceId);
  }

  homeOf(key: RequestKey): KeyHome {
    const {id, incarnation} = this.membership.identity;
    if (key.instance === id && key.incarnation === incarnation) {
      return {kind: 'self'};
    }
    const link = this.links.to(key.instance);
    return link?.incarnation === key.incarnation
      ? {kind: 'peer', link}
      : {kind: 'unreachable'};
  }

  linkTo(instance: string): PeerConnection | undefined {
    return this.links.to(instance);
  }

  /** The open links, for what concerns all of them. */
  get openLinks(): readonly PeerConnection[] {
    return this.links.all;
  }

  onOwnershipChanged(listener: () => void): Disposable {
    this.listeners.add(listener);
    return {[Symbol.dispose]: () => void this.listeners.delete(listener)};
  }

  /** Sends a message to all linked instances. */
  broadcast(message: PeerMessage): void {
    this.links.all.forEach(link => link.send(message));
  }

  /** What each instance of the cell has in force. */
  instances(now: number): readonly InstanceStatus[] {
    return this.membership.instances({now, wall: this.options.wallClock()});
  }

  publish(record: ChangeRecord): void {
    this.broadcast(changeMessage(record));
  }

  waitUntilAccepted(
    revision: number,
    timeoutMs: number,
    signal: AbortSignal,
  ): Promise<boolean> {
    const limit = AbortSignal.any([signal, AbortSignal.timeout(timeoutMs)]);
    const waiting = this.membership.acceptance.wait(revision, limit);
    this.reevaluate();
    this.links.all.forEach(link => link.beat(true));
    return waiting;
  }

  standing(now: number): HeartbeatStatus {
    const {membership} = this;
    // A heartbeat is a vote: what is known of the seats goes before it.
    if (this.reportedChanges !== membership.cell.holderChanges)
      this.sendReports(now);
    return membership.heartbeatStatus({now, wall: this.options.wallClock()});
  }

  onLinked(link: PeerConnection): void {
    const reports = this.membership.cell.reports(this.clock.now());
    link.send({kind: 'seats', reports: reports as MutableReports});
    this.reevaluate();
  }

  onStanding(
    link: PeerConnection,
    standing: HeartbeatStatus,
    askedAt: number,
  ): void {
    const now = this.clock.now();
    const {seat} = link.peer;
    const {membership} = this;
    const before = membership.cell.peer(seat)?.status?.revision ?? 0;
    if (
      !membership.recordHeartbeat(
        seat,
        link.incarnation,
        standing,
        askedAt,
        now,
      )
    )
      return;
    this.exchange.seen(link, standing.revision, now);
    this.reevaluate();
    // A moment at which all had it is known only from a later answer of each.
    if (membership.acceptance.hasWaiters && standing.revision > before) {
      this.links.all.forEach(l => l.beat(true));
    }
  }

  onSeats(link: PeerConnection, reports: readonly SeatReport[]): void {
    this.membership.recordReports(link.peer.seat, reports);
    this.updateLinkTargets();
    this.reevaluate();
  }

  onChange(link: PeerConnection, message: MessageOf<'change'>): void {
    this.exchange.takeChange(message);
  }

  onChangesWanted(link: PeerConnection, from: number): void {
    this.exchange.answer(link, from);
  }

  onSnapshot(link: PeerConnection, message: MessageOf<'snapshot'>): void {
    this.exchange.takePart(message);
  }

  onUnknown(link: PeerConnection, name: string): void {
    this.options.log.ignored(link, name);
  }

  async [Symbol.asyncDispose](): Promise<void> {
    clearInterval(this.timer);
    this.subscription[Symbol.dispose]();
    this.exchange[Symbol.dispose]();
    this.links[Symbol.dispose]();
    await this.dialler[Symbol.asyncDispose]();
    await this.listener[Symbol.asyncDispose]();
  }

  private async runLink(address: string, signal: AbortSignal) {
    const known = this.links.all.find(
      link => link.peer.holder.peerAddress === address,
    );
    if (known) {
      await Promise.race([known.ended, aborted(signal)]);
      return {wasLinked: true, err: {kind: 'disposed'}} as const;
    }
    const max = this.options.bodyBytes + MESSAGE_MARGIN;
    const socket = await PeerSocket.dial(address, PEER_CODEC, max, signal);
    if (signal.aborted) socket[Symbol.dispose]();
    return this.links.run(socket, 'dialler', address);
  }

  private tick(): void {
    this.reevaluate();
    this.updateLinkTargets();
  }

  private revisionChanged(): void {
    this.reevaluate();
    this.links.all.forEach(link => link.beat(true));
  }

  reevaluate(): void {
    const at = this.moment();
    this.sendReports(at.now);
    const serving = this.membership.reevaluate(at);
    if (!serving) return;
    this.options.log.servingChanged(serving);
    this.listeners.forEach(listener => listener());
  }

  private moment(): ClockReadings {
    return {now: this.clock.now(), wall: this.options.wallClock()};
  }

  /** Tells the peers what is known of the seats, whenever that changes. */
  private sendReports(now: number): void {
    const {cell} = this.membership;
    this.reportedChanges = cell.holderChanges;
    const reports = cell.reports(now) as MutableReports;
    const text = JSON.stringify(reports);
    const isNew = text !== this.sentReports;
    this.sentReports = text;
    if (isNew) this.broadcast({kind: 'seats', reports});
  }
}

// The types differ in `readonly` only.
type MutableReports = MessageOf<'seats'>['reports'];

function holderOf(
  identity: InstanceIdentity,
  peerAddress: string,
  callerUrl: string,
): SeatHolder {
  const {id, incarnation, failureDomain} = identity;
  return {instance: id, incarnation, failureDomain, peerAddress, callerUrl};
}

function aborted(signal: AbortSignal): Promise<void> {
  return new Promise(resolve => {
    if (signal.aborted) resolve();
    signal.addEventListener('abort', () => resolve(), {once: true});
  });
}
