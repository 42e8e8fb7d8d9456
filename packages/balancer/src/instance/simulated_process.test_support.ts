/**
 * One process of a cell in virtual time, in place of the daemon around it: its
 * clocks, its ends of links, and what it does with messages.
 */
import type {ChangeRecord} from '@ragworthall/contracts';
import {ReplicatedConfiguration} from '../configuration/replicated_configuration.js';
import type {Snapshot} from '../configuration/configuration_rows.js';
import type {TableFault} from '../platform/memory_table.js';
import type {Table} from '../platform/table.js';
import type {CellWorld} from './cell_simulation.test_support.js';
import {Membership, type ClockReadings} from './membership.js';
import {incarnationOf, type SeatReport, type HeartbeatStatus} from './seat.js';
import {SeatRegistration} from './seat_registration.js';

type Message =
  | {
      readonly kind: 'heartbeat';
      readonly sequence: number;
      readonly echo: number;
      readonly standing: HeartbeatStatus;
    }
  | {readonly kind: 'seats'; readonly reports: readonly SeatReport[]}
  | {readonly kind: 'change'; readonly record: ChangeRecord}
  | {readonly kind: 'wanted'; readonly from: number}
  | {readonly kind: 'snapshot'; readonly snapshot: Snapshot};

/** One end of a link. */
interface LinkEnd {
  readonly to: CellProcess;
  readonly queue: Message[];
  readonly sentAt: Map<number, number>;
  sequence: number;
  heard: number;
  isOpen: boolean;
}

/** One process; several may believe that they hold the same seat. */
export class CellProcess {
  readonly keeper: ReplicatedConfiguration;
  readonly membership: Membership;
  readonly registration: SeatRegistration;
  readonly links = new Map<CellProcess, LinkEnd>();
  fault: TableFault = 'none';
  isPaused = false;
  isSlow = false;
  /** Time that its monotonic clock has lost while it was suspended. */
  suspendedMs = 0;
  highestRevision = 0;
  private readonly waiting: (() => void)[] = [];
  private changes = -1;

  constructor(
    readonly world: CellWorld,
    readonly seat: number,
    private readonly clockRate: number,
  ) {
    const unique = String(world.processes.length).padStart(6, '0');
    const incarnation = incarnationOf(world.time, unique);
    const table = this.slowly(world.table.client(() => this.fault));
    const clock = {now: () => this.at().now};
    const identity = {
      id: `i${seat}`,
      incarnation,
      failureDomain: 'd',
      cell: 'c',
      seat,
      seats: world.seats,
      startedAt: clock.now(),
    };
    this.keeper = new ReplicatedConfiguration(table, 'c', {
      now: clock.now,
      pause: ms => world.after(ms),
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
      this.keeper,
      this.at().wall,
    );
    this.registration = new SeatRegistration(
      table,
      this.membership,
      this.keeper,
      clock,
    );
    this.keeper.setPropagator({
      publish: record => this.sendAll({kind: 'change', record}),
      waitUntilAccepted: revision =>
        this.membership.acceptance.wait(revision, never()),
    });
    this.keeper.onChanged(() => this.beatAll());
  }

  /** The present time on its own clocks. */
  at(): ClockReadings {
    const elapsed = this.world.time * this.clockRate;
    return {now: elapsed - this.suspendedMs, wall: elapsed};
  }

  get mayServe(): boolean {
    return this.membership.mayServe(this.at());
  }

  /** Lets the answers of the table come that were held back. */
  release(): void {
    this.isSlow = false;
    this.waiting.splice(0).forEach(resolve => resolve());
  }

  /** Renews its seat, as the daemon's task does. */
  async renew(): Promise<void> {
    const renewal = await this.registration.renew('serving');
    if (renewal.kind === 'behind') await this.keeper.readUpTo(renewal.newest);
    this.reconsider();
  }

  /** Sends a heartbeat on every link. */
  beatAll(): void {
    if (this.isPaused) return;
    this.links.forEach(link => this.beat(link));
  }

  /** Takes in the next message of a peer, if there is one. */
  receive(from: CellProcess): void {
    const message = from.links.get(this)?.queue.shift();
    const back = this.links.get(from);
    if (!message || !back) return;
    switch (message.kind) {
      case 'heartbeat':
        this.takeHeartbeat(back, message);
        break;
      case 'seats':
        this.membership.recordReports(from.seat, message.reports);
        this.closeSuperseded();
        break;
      case 'change':
        this.keeper.applyChange(message.record);
        break;
      case 'wanted': {
        const records = this.keeper.changesFrom(message.from);
        records?.forEach(record => back.queue.push({kind: 'change', record}));
        const snapshot = this.keeper.snapshot();
        if (!records) back.queue.push({kind: 'snapshot', snapshot});
        break;
      }
      case 'snapshot':
        this.keeper.applySnapshot(message.snapshot);
        break;
      default:
        throw new Error(`unexpected message: ${message satisfies never}`);
    }
    this.reconsider();
  }

  /** Opens its end of a link; returns whether it takes the other. */
  open(to: CellProcess): boolean {
    const {cell} = this.membership;
    if (!cell.recordHolder(to.seat, to.membership.cell.self)) return false;
    [...this.links.keys()]
      .filter(other => other.seat === to.seat)
      .forEach(other => this.world.cut(this, other));
    this.links.set(to, {
      to,
      queue: [],
      sentAt: new Map(),
      sequence: 0,
      heard: 0,
      isOpen: true,
    });
    const peer = cell.peer(to.seat)!;
    peer.isLinked = true;
    peer.lastHeardAt = this.at().now;
    this.changes = -1;
    return true;
  }

  /** Loses its end of a link. */
  close(to: CellProcess): void {
    this.links.delete(to);
    const peer = this.membership.cell.peer(to.seat)!;
    const {incarnation} = to.membership.cell.self;
    if (peer.holder?.incarnation === incarnation) peer.isLinked = false;
  }

  reconsider(): void {
    if (!this.isPaused) this.membership.reevaluate(this.at());
  }

  private beat(link: LinkEnd): void {
    const {cell} = this.membership;
    const {now} = this.at();
    if (this.changes !== cell.holderChanges) this.sendReports();
    link.sequence += 1;
    link.sentAt.set(link.sequence, now);
    link.queue.push({
      kind: 'heartbeat',
      sequence: link.sequence,
      echo: link.heard,
      standing: this.membership.heartbeatStatus(this.at()),
    });
  }

  /** Tells what it knows of the seats. */
  sendReports(): void {
    const {cell} = this.membership;
    this.changes = cell.holderChanges;
    const reports = cell.reports(this.at().now);
    this.sendAll({kind: 'seats', reports});
  }

  private takeHeartbeat(
    link: LinkEnd,
    message: Extract<Message, {kind: 'heartbeat'}>,
  ): void {
    const {standing} = message;
    const askedAt = link.sentAt.get(message.echo) ?? -Infinity;
    link.heard = message.sequence;
    const {incarnation} = link.to.membership.cell.self;
    const {now} = this.at();
    this.membership.recordHeartbeat(
      link.to.seat,
      incarnation,
      standing,
      askedAt,
      now,
    );
    const own = this.keeper.current().revision;
    if (standing.revision > own) {
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
      if (known && known.incarnation > incarnation) this.world.cut(this, other);
    });
  }

  /** A table whose answers come late while {@link isSlow}. */
  private slowly(table: Table): Table {
    const hold = async <T>(answer: T): Promise<T> => {
      if (this.isSlow) {
        await new Promise<void>(resolve => this.waiting.push(resolve));
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

function never(): AbortSignal {
  return new AbortController().signal;
}
