/** Carries out the faults of a schedule on a cluster. */
import {ServerState} from '@ragworthall/contracts';
import type {
  BackendServerFault,
  LedgerReport,
  PlatformFault,
} from '@ragworthall/standins';
import {setTimeout as delay} from 'node:timers/promises';
import type {Cluster, RunningServer} from '../launch/cluster.js';
import type {EventLog} from './event_log.js';
import type {Fault} from './fault_plan.js';
import type {PlannedStop} from './history.js';

/** Backend servers that leave in one run. */
const MAX_DRAINS = 2;
/** Seats that are without a running daemon at the same time. */
const MAX_BUSY_SEATS = 2;

const DRAINING: BackendServerFault = {
  kind: 'state',
  state: ServerState.Draining,
};

type Operate = (seats: readonly [number, number]) => Promise<void>;

/** The faults of one run. */
export class FaultInjector {
  readonly stops: PlannedStop[] = [];
  /** Ledgers of servers as they were just before their process died. */
  readonly lastLedgers = new Map<string, LedgerReport>();
  private readonly busySeats = new Set<number>();
  private readonly leaving = new Set<string>();
  private readonly dead = new Set<string>();

  constructor(
    private readonly cluster: Cluster,
    private readonly log: EventLog,
    private readonly operate: Operate,
  ) {}

  /** Carries out one fault to its end; one that clashes is left out. */
  async inject(fault: Fault): Promise<void> {
    switch (fault.kind) {
      case 'kill_daemon':
        return this.withSeat(fault, fault.seat, () => this.kill(fault));
      case 'pause_daemon':
        return this.withSeat(fault, fault.seat, () => this.pause(fault));
      case 'stop_daemon':
        return this.withSeat(fault, fault.seat, () => this.stop(fault.seat));
      case 'server_fault':
        return this.faultServer(fault);
      case 'drain_server':
        return this.drain(fault.server);
      case 'kill_servers':
        return this.killServers();
      case 'platform_fault':
        return this.faultPlatform(fault);
      case 'operators':
        return this.operate(fault.seats);
      default:
        fault satisfies never;
    }
  }

  /** Ends all faults, but for what has left or died. */
  async endAll(): Promise<void> {
    await this.cluster.setPlatformFaults([]);
    await Promise.all(
      this.cluster.daemons.map(d => this.cluster.setPlatformFaults([], d.id)),
    );
    await Promise.all(
      this.cluster.servers.map(s => this.setServerFault(s, undefined)),
    );
    this.log.add('all faults ended');
  }

  private async withSeat(
    fault: Fault,
    seat: number,
    act: () => Promise<void>,
  ): Promise<void> {
    if (this.busySeats.has(seat) || this.busySeats.size >= MAX_BUSY_SEATS) {
      return;
    }
    this.busySeats.add(seat);
    this.log.add(JSON.stringify(fault));
    try {
      await act();
    } finally {
      this.busySeats.delete(seat);
      this.log.add(`end of ${fault.kind} at seat ${seat}`);
    }
  }

  private async kill(
    fault: Extract<Fault, {kind: 'kill_daemon'}>,
  ): Promise<void> {
    await this.daemonAt(fault.seat).process.kill();
    await delay(fault.downMs);
    await this.cluster.startDaemon(fault.seat);
  }

  private async pause(
    fault: Extract<Fault, {kind: 'pause_daemon'}>,
  ): Promise<void> {
    const {process} = this.daemonAt(fault.seat);
    process.signal('SIGSTOP');
    await delay(fault.lengthMs);
    process.signal('SIGCONT');
  }

  private async stop(seat: number): Promise<void> {
    const daemon = this.daemonAt(seat);
    const from = performance.now();
    const exitCode = await daemon.process.stop();
    const to = performance.now();
    const {id: instance, callersUrl: url} = daemon;
    this.stops.push({instance, url, exitCode, from, to});
    await this.cluster.startDaemon(seat);
  }

  private async faultServer(
    fault: Extract<Fault, {kind: 'server_fault'}>,
  ): Promise<void> {
    const server = this.cluster.servers[fault.server]!;
    if (this.leaving.has(server.id) || this.dead.has(server.id)) return;
    this.log.add(`${server.id}: ${JSON.stringify(fault.fault)}`);
    await this.setServerFault(server, fault.fault);
    await delay(fault.lengthMs);
    await this.setServerFault(server, undefined);
    this.log.add(`${server.id}: end of ${fault.fault.kind}`);
  }

  private async drain(index: number): Promise<void> {
    const server = this.cluster.servers[index]!;
    if (this.dead.has(server.id) || this.leaving.size >= MAX_DRAINS) return;
    this.leaving.add(server.id);
    this.log.add(`${server.id}: leaves`);
    await this.setServerFault(server, undefined);
  }

  /** Sets the one fault of a server; it goes on leaving if it is. */
  private async setServerFault(
    {id}: RunningServer,
    fault: BackendServerFault | undefined,
  ): Promise<void> {
    const faults = [
      ...(this.leaving.has(id) ? [DRAINING] : []),
      ...(fault ? [fault] : []),
    ];
    if (!this.dead.has(id)) await this.cluster.setServerFaults(id, faults);
  }

  /** Kills one process of servers; at most one in a run. */
  private async killServers(): Promise<void> {
    if (this.dead.size > 0) return;
    const {process} = this.cluster.servers.at(-1)!;
    const dying = this.cluster.servers.filter(s => s.process === process);
    dying.forEach(s => this.dead.add(s.id));
    const ledgers = await this.cluster.fetchLedgers();
    dying.forEach(s => this.lastLedgers.set(s.id, ledgers.get(s.id)!));
    await process.kill();
    this.log.add(`killed ${dying.map(s => s.id).join(' ')}`);
  }

  private async faultPlatform(
    fault: Extract<Fault, {kind: 'platform_fault'}>,
  ): Promise<void> {
    const {seat} = fault;
    const client = seat === undefined ? undefined : this.daemonAt(seat).id;
    const faults: readonly PlatformFault[] = [fault.fault];
    this.log.add(`platform, ${client ?? 'all'}: ${JSON.stringify(faults)}`);
    await this.cluster.setPlatformFaults(faults, client);
    await delay(fault.lengthMs);
    await this.cluster.setPlatformFaults([], client);
    this.log.add(`platform, ${client ?? 'all'}: end of ${fault.fault.kind}`);
  }

  private daemonAt(seat: number) {
    return this.cluster.daemons.find(d => d.seat === seat)!;
  }
}
