/**
 * The other instances of the cell: the links to them, this instance's lease and
 * the ownership of backend servers. One task runs for each link, one for each
 * dialled address, and one, `SeatRenewalTask`, for the table.
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

/** Bytes allowed for a message in addition to the body that it carries. */
const MESSAGE_OVERHEAD_BYTES = 4 * 1_048_576;

/** Logs the events of links and of the fleet. */
export interface FleetLog extends LinkLog {
  /** A message of a later version was ignored. */
  messageIgnored(link: PeerConnection, kind: string): void;
  /** The set of serving instances changed. */
  servingChanged(instances: readonly string[]): void;
}

/** Settings and dependencies of {@link Peers}. */
export interface PeersOptions {
  readonly identity: InstanceIdentity;
  readonly listen: {readonly host: string; readonly port: number};
  /** Shared secret of the cell. */
  readonly secret: string;
  /** Addresses to dial in addition to those read from the table. */
  readonly seeds: readonly string[];
  /** Limit on the size of a body, bytes. */
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

/** The other instances of the cell, as this instance sees and reaches them. */
export class Peers
  implements Fleet, ChangePropagator, LinkEvents, FleetHooks, AsyncDisposable
{
  readonly membership: Membership;
  readonly clock: Clock;
  readonly handlers: PeerHandlers;
  private readonly links: Links;
  private readonly dialler: Dialler;
  private readonly exchange: ConfigurationExchange;
  private readonly ownershipListeners = new Set<() => void>();
  private readonly tickTimer: NodeJS.Timeout;
  private readonly configurationSubscription: Disposable;
  /** The seat reports sent last, as JSON. */
  private lastSentReports = '';
  /** Value of `Cell.holderChanges` when the seat reports were last checked. */
  private reportedHolderChanges = -1;

  private constructor(
    private readonly options: PeersOptions,
    private readonly listener: PeerListener<PeerMessage>,
  ) {
    const {identity, configuration, clock} = options;
    this.clock = clock;
    this.handlers = options.handlers;
    this.membership = new Membership(
      identity,
      holderOf(identity, listener.address, ''),
      configuration,
      options.wallClock(),
    );
    const {cell} = this.membership;
    this.links = new Links(cell, options.secret, this, options.log);
    this.dialler = new Dialler(this.runLink.bind(this), options.random);
    this.exchange = new ConfigurationExchange(configuration);
    this.tickTimer = setInterval(() => this.tick(), HEARTBEAT_MS);
    this.configurationSubscription = configuration.onChanged(() =>
      this.onRevisionChanged(),
    );
    configuration.setPropagator(this);
  }

  /** Binds the address for peers; {@link join} starts to accept links. */
  static async listen(options: PeersOptions): Promise<Peers> {
    const {host, port} = options.listen;
    const maxMessageBytes = options.bodyBytes + MESSAGE_OVERHEAD_BYTES;
    return new Peers(
      options,
      await PeerListener.listen(host, port, PEER_CODEC, maxMessageBytes),
    );
  }

  /** Address for links from other instances. */
  get address(): string {
    return this.listener.address;
  }

  /** Whether this instance is starting, serving or stopping. */
  get state(): InstanceState {
    return this.membership.state(this.readClocks());
  }

  /**
   * Number of calls forwarded to other instances and not answered yet, and of
   * calls and probes that run here for other instances.
   */
  get callsInFlight(): number {
    return this.links.all
      .map(link => link.callsInFlight + link.requestsRunning)
      .reduce((a, b) => a + b, 0);
  }

  /**
   * Starts to accept links and to dial the other instances.
   *
   * @param callerUrl Base URL of this instance for callers.
   */
  join(callerUrl: string): void {
    const {cell, identity} = this.membership;
    cell.self = holderOf(identity, this.address, callerUrl);
    this.listener.onSocket(socket => void this.links.run(socket, 'acceptor'));
    this.updateLinkTargets();
  }

  /** Announces to the other instances that this one is stopping. */
  leave(): void {
    this.membership.markStopping();
    this.reevaluate();
    this.links.all.forEach(link => link.sendHeartbeat(false));
  }

  updateLinkTargets(): void {
    const {cell, identity} = this.membership;
    // Of two seats, the higher one dials; seeds are dialled in any case.
    const lowerSeatAddresses = cell.peers
      .filter(peer => peer.seat < identity.seat)
      .flatMap(peer => peer.holder?.peerAddress ?? []);
    const seeds = this.options.seeds.filter(seed => seed !== this.address);
    this.dialler.setTargets([...new Set([...lowerSeatAddresses, ...seeds])]);
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
    const link = this.links.toInstance(key.instance);
    return link?.incarnation === key.incarnation
      ? {kind: 'peer', link}
      : {kind: 'unreachable'};
  }

  linkTo(instance: string): PeerConnection | undefined {
    return this.links.toInstance(instance);
  }

  /** The open links to all other instances. */
  get openLinks(): readonly PeerConnection[] {
    return this.links.all;
  }

  onOwnershipChanged(listener: () => void): Disposable {
    this.ownershipListeners.add(listener);
    return {
      [Symbol.dispose]: () => void this.ownershipListeners.delete(listener),
    };
  }

  /** Sends a message to all linked instances. */
  broadcast(message: PeerMessage): void {
    this.links.all.forEach(link => link.send(message));
  }

  /** The status of each instance of the cell, including its active revision. */
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
    const stopWaiting = AbortSignal.any([
      signal,
      AbortSignal.timeout(timeoutMs),
    ]);
    const waiting = this.membership.acceptance.wait(revision, stopWaiting);
    this.reevaluate();
    this.links.all.forEach(link => link.sendHeartbeat(true));
    return waiting;
  }

  heartbeatStatus(now: number): HeartbeatStatus {
    const {membership} = this;
    // The receiver counts the heartbeat as a vote, so it must first get the
    // current reports on the seats.
    if (this.reportedHolderChanges !== membership.cell.holderChanges)
      this.sendReports(now);
    return membership.heartbeatStatus({now, wall: this.options.wallClock()});
  }

  onLinked(link: PeerConnection): void {
    const reports = this.membership.cell.reports(this.clock.now());
    link.send({kind: 'seats', reports: reports as MutableReports});
    this.reevaluate();
  }

  onHeartbeat(
    link: PeerConnection,
    status: HeartbeatStatus,
    ackedSentAt: number,
  ): void {
    const now = this.clock.now();
    const {seat} = link.peer;
    const {membership} = this;
    const previousRevision = membership.cell.peer(seat)?.status?.revision ?? 0;
    if (
      !membership.recordHeartbeat(
        seat,
        link.incarnation,
        status,
        ackedSentAt,
        now,
      )
    )
      return;
    this.exchange.requestIfBehind(link, status.revision, now);
    this.reevaluate();
    // Only a later heartbeat of each peer can show that all had the revision at
    // the same time, so these heartbeats are requested now.
    if (
      membership.acceptance.hasWaiters &&
      status.revision > previousRevision
    ) {
      this.links.all.forEach(l => l.sendHeartbeat(true));
    }
  }

  onSeats(link: PeerConnection, reports: readonly SeatReport[]): void {
    this.membership.recordReports(link.peer.seat, reports);
    this.updateLinkTargets();
    this.reevaluate();
  }

  onChange(link: PeerConnection, message: MessageOf<'change'>): void {
    this.exchange.applyChange(message);
  }

  onChangesWanted(link: PeerConnection, from: number): void {
    this.exchange.sendChanges(link, from);
  }

  onSnapshot(link: PeerConnection, message: MessageOf<'snapshot'>): void {
    this.exchange.applySnapshotPart(message);
  }

  onUnknownMessage(link: PeerConnection, name: string): void {
    this.options.log.messageIgnored(link, name);
  }

  async [Symbol.asyncDispose](): Promise<void> {
    clearInterval(this.tickTimer);
    this.configurationSubscription[Symbol.dispose]();
    this.exchange[Symbol.dispose]();
    this.listener.onSocket(socket => socket[Symbol.dispose]());
    const linksClosed = this.links[Symbol.asyncDispose]();
    await this.dialler[Symbol.asyncDispose]();
    await linksClosed;
    await this.listener[Symbol.asyncDispose]();
  }

  private async runLink(address: string, signal: AbortSignal) {
    const known = this.links.all.find(
      link => link.peer.holder.peerAddress === address,
    );
    if (known) {
      await Promise.race([known.ended, whenAborted(signal)]);
      return {wasLinked: true, err: {kind: 'disposed'}} as const;
    }
    const maxMessageBytes = this.options.bodyBytes + MESSAGE_OVERHEAD_BYTES;
    const socket = await PeerSocket.dial(
      address,
      PEER_CODEC,
      maxMessageBytes,
      signal,
    );
    if (signal.aborted) socket[Symbol.dispose]();
    return this.links.run(socket, 'dialler', address);
  }

  private tick(): void {
    this.reevaluate();
    this.updateLinkTargets();
  }

  private onRevisionChanged(): void {
    this.reevaluate();
    this.links.all.forEach(link => link.sendHeartbeat(true));
  }

  reevaluate(): void {
    const readings = this.readClocks();
    this.sendReports(readings.now);
    const serving = this.membership.reevaluate(readings);
    if (!serving) return;
    this.options.log.servingChanged(serving);
    this.ownershipListeners.forEach(listener => listener());
  }

  private readClocks(): ClockReadings {
    return {now: this.clock.now(), wall: this.options.wallClock()};
  }

  /** Sends the reports on the seats to the peers if they have changed. */
  private sendReports(now: number): void {
    const {cell} = this.membership;
    this.reportedHolderChanges = cell.holderChanges;
    const reports = cell.reports(now) as MutableReports;
    const encoded = JSON.stringify(reports);
    const isNew = encoded !== this.lastSentReports;
    this.lastSentReports = encoded;
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

function whenAborted(signal: AbortSignal): Promise<void> {
  return new Promise(resolve => {
    if (signal.aborted) resolve();
    signal.addEventListener('abort', () => resolve(), {once: true});
  });
}
