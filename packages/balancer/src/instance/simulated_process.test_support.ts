/**
 * One process of a simulated cell. It replaces the daemon around a membership:
 * it has its own clocks and link ends, and sends and handles the messages.
 */
import type {ChangeRecord} from '@ragworthall/contracts';
import {ReplicatedConfiguration} from '../configuration/replicated_configuration.js';
import type {Snapshot} from '../configuration/configuration_rows.js';
import type {TableFault} from '../platform/memory_table.js';
import type {Table} from '../platform/table.js';
import type {CellSimulation} from './cell_simulation.test_support.js';
import {Membership, type ClockReadings} from './membership.js';
import {incarnationOf, type SeatReport, type HeartbeatStatus} from './seat.js';
import {SeatRegistration} from './seat_registration.js';

type Message =
  | {
      readonly kind: 'heartbeat';
      readonly sequence: number;
      readonly echo: number;
      readonly status: HeartbeatStatus;
    }
  | {readonly kind: 'seats'; readonly reports: readonly SeatReport[]}
  | {readonly kind: 'change'; readonly record: ChangeRecord}
  | {readonly kind: 'wanted'; readonly from: number}
  | {readonly kind: 'snapshot'; readonly snapshot: Snapshot};

/** One end of a link. */
interface LinkEnd {
  readonly to: SimulatedProcess;
  readonly queue: Message[];
  readonly sentAt: Map<number, number>;
  sequence: number;
  lastSequence: number;
  isOpen: boolean;
}

/** A simulated process; several may believe that they hold the same seat. */
export class SimulatedProcess {
  readonly configuration: ReplicatedConfiguration;
  readonly membership: Membership;
  readonly registration: SeatRegistration;
  readonly links = new Map<SimulatedProcess, LinkEnd>();
  /** Fault of the table as seen by this process. */
  fault: TableFault = 'none';
  isPaused = false;
  /** Whether answers of the table are held back. */
  isTableSlow = false;
  /** Total time of its suspensions, by which its monotonic clock lags. */
  suspendedMs = 0;
  /** Highest revision seen in force; checked by the simulation. */
  highestRevision = 0;
  private readonly heldAnswers: (() => void)[] = [];
  private reportedHolderChanges = -1;

  constructor(
    readonly simulation: CellSimulation,
    readonly seat: number,
    private readonly clockRate: number,
  ) {
    const unique = String(simulation.processes.length).padStart(6, '0');
    const incarnation = incarnationOf(simulation.nowMs, unique);
    const table = this.withHeldAnswers(
      simulation.table.client(() => this.fault),
    );
    const clock = {now: () => this.clocks().now};
    const identity = {
      id: `i${seat}`,
      incarnation,
      failureDomain: 'd',
      cell: 'c',
      seat,
      seats: simulation.seats,
      startedAt: clock.now(),
    };
    this.configuration = new ReplicatedConfiguration(table, 'c', {
      now: clock.now,
      pause: ms => simulation.after(ms),
      reportInvalidRow: () => undefined,
    });
    const holder = {
      instance: identity.id,
      incarnation,
      failureDomain: 'd',
      peerAddress: incarnation,
      callerUrl: '',
    };
    this.membership = new Membership(
      identity,
      holder,
      this.configuration,
      this.clocks().wall,
    );
    this.registration = new SeatRegistration(
      table,
      this.membership,
      this.configuration,
      clock,
    );
    this.configuration.setPropagator({
      publish: record => this.sendAll({kind: 'change', record}),
      waitUntilAccepted: revision =>
        this.membership.acceptance.wait(revision, neverAborted()),
    });
    this.configuration.onChanged(() => this.sendHeartbeats());
  }

  /** Readings of its own clocks. */
  clocks(): ClockReadings {
    const elapsed = this.simulation.nowMs * this.clockRate;
    return {now: elapsed - this.suspendedMs, wall: elapsed};
  }

  get mayServe(): boolean {
    return this.membership.mayServe(this.clocks());
  }

  /** Delivers the held answers of the table, and stops holding them back. */
  releaseTableAnswers(): void {
    this.isTableSlow = false;
    this.heldAnswers.splice(0).forEach(resolve => resolve());
  }

  /** Renews its seat, as the daemon does periodically. */
  async renew(): Promise<void> {
    const renewal = await this.registration.renew('serving');
    if (renewal.kind === 'behind')
      await this.configuration.readUpTo(renewal.newest);
    this.reevaluate();
  }

  /** Sends a heartbeat on every link. */
  sendHeartbeats(): void {
    if (this.isPaused) return;
    this.links.forEach(link => this.sendHeartbeat(link));
  }

  /** Handles the next message of a peer, if there is one. */
  receive(from: SimulatedProcess): void {
    const message = from.links.get(this)?.queue.shift();
    const back = this.links.get(from);
    if (!message || !back) return;
    switch (message.kind) {
      case 'heartbeat':
        this.receiveHeartbeat(back, message);
        break;
      case 'seats':
        this.membership.recordReports(from.seat, message.reports);
        this.closeSuperseded();
        break;
      case 'change':
        this.configuration.applyChange(message.record);
        break;
      case 'wanted': {
        const records = this.configuration.changesFrom(message.from);
        records?.forEach(record => back.queue.push({kind: 'change', record}));
        const snapshot = this.configuration.snapshot();
        if (!records) back.queue.push({kind: 'snapshot', snapshot});
        break;
      }
      case 'snapshot':
        this.configuration.applySnapshot(message.snapshot);
        break;
      default:
        throw new Error(`unexpected message: ${message satisfies never}`);
    }
    this.reevaluate();
  }

  /** Opens its end of a link; returns whether it accepts the other process. */
  open(to: SimulatedProcess): boolean {
    const {cell} = this.membership;
    if (!cell.recordHolder(to.seat, to.membership.cell.self)) return false;
    [...this.links.keys()]
      .filter(other => other.seat === to.seat)
      .forEach(other => this.simulation.cut(this, other));
    this.links.set(to, {
      to,
      queue: [],
      sentAt: new Map(),
      sequence: 0,
      lastSequence: 0,
      isOpen: true,
    });
    const peer = cell.peer(to.seat)!;
    peer.isLinked = true;
    peer.lastHeardAt = this.clocks().now;
    this.reportedHolderChanges = -1;
    return true;
  }

  /** Closes its end of a link. */
  close(to: SimulatedProcess): void {
    this.links.delete(to);
    const peer = this.membership.cell.peer(to.seat)!;
    const {incarnation} = to.membership.cell.self;
    if (peer.holder?.incarnation === incarnation) peer.isLinked = false;
  }

  reevaluate(): void {
    if (!this.isPaused) this.membership.reevaluate(this.clocks());
  }

  private sendHeartbeat(link: LinkEnd): void {
    const {cell} = this.membership;
    const {now} = this.clocks();
    if (this.reportedHolderChanges !== cell.holderChanges) this.sendReports();
    link.sequence += 1;
    link.sentAt.set(link.sequence, now);
    link.queue.push({
      kind: 'heartbeat',
      sequence: link.sequence,
      echo: link.lastSequence,
      status: this.membership.heartbeatStatus(this.clocks()),
    });
  }

  /** Sends what it knows of the seats to all linked processes. */
  sendReports(): void {
    const {cell} = this.membership;
    this.reportedHolderChanges = cell.holderChanges;
    const reports = cell.reports(this.clocks().now);
    this.sendAll({kind: 'seats', reports});
  }

  private receiveHeartbeat(
    link: LinkEnd,
    message: Extract<Message, {kind: 'heartbeat'}>,
  ): void {
    const {status} = message;
    const ackedSentAt = link.sentAt.get(message.echo) ?? -Infinity;
    link.lastSequence = message.sequence;
    const {incarnation} = link.to.membership.cell.self;
    const {now} = this.clocks();
    this.membership.recordHeartbeat(
      link.to.seat,
      incarnation,
      status,
      ackedSentAt,
      now,
    );
    const own = this.configuration.current().revision;
    if (status.revision > own) {
      link.queue.push({kind: 'wanted', from: own + 1});
    }
  }

  private sendAll(message: Message): void {
    this.links.forEach(link => link.queue.push(message));
  }

  private closeSuperseded(): void {
    [...this.links.keys()].forEach(other => {
      const known = this.membership.cell.peer(other.seat)?.holder;
      const {incarnation} = other.membership.cell.self;
      if (known && known.incarnation > incarnation)
        this.simulation.cut(this, other);
    });
  }

  /** Wraps a table so that it holds its answers while {@link isTableSlow}. */
  private withHeldAnswers(table: Table): Table {
    const hold = async <T>(answer: T): Promise<T> => {
      if (this.isTableSlow) {
        await new Promise<void>(resolve => this.heldAnswers.push(resolve));
      }
      return answer;
    };
    return {
      transact: async tx => hold(await table.transact(tx)),
      read: async key => hold(await table.read(key)),
      list: async prefix => hold(await table.list(prefix)),
    };
  }
}

function neverAborted(): AbortSignal {
  return new AbortController().signal;
}
