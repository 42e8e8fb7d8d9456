/** Instances of one cell in one process, linked over real sockets. */
import {
  type Call,
  type CallResult,
  ReplicatedConfiguration,
  type ForwardRole,
  incarnationOf,
  refusedNotRun,
  type PeerHandlers,
  RefusalReason,
  SeatRegistration,
  type Table,
} from '@ragworthall/balancer';
import {setTimeout as delay} from 'node:timers/promises';
import {SeatRenewalTask} from '../platform/seat_renewal_task.js';
import type {LinkError} from './link_error.js';
import {type FleetLog, Peers} from './peers.js';

/** The clock of the process. */
export const CLOCK = {now: () => performance.now()};

let starts = 0;

/** Options of one instance. */
export interface TestInstanceOptions {
  readonly seat: number;
  readonly seats: number;
  readonly table: Table;
  readonly seeds?: readonly string[];
  readonly secret?: string;
  readonly bodyBytes?: number;
  /** IP address for peers. */
  readonly host?: string;
  /** Port for peers; by default a free one. */
  readonly port?: number;
  readonly forwarded?: (
    call: Call,
    role: ForwardRole,
    from: string,
    signal: AbortSignal,
  ) => Promise<CallResult>;
}

/** One instance of the cell, with its links and its seat renewal. */
export class TestInstance implements AsyncDisposable {
  private constructor(
    readonly configuration: ReplicatedConfiguration,
    readonly peers: Peers,
    /** Reasons why links were refused or ended. */
    readonly linkErrors: LinkError[],
    /** Kinds of messages that were ignored. */
    readonly ignoredKinds: string[],
    readonly renewalTask: SeatRenewalTask,
  ) {}

  static async start(options: TestInstanceOptions): Promise<TestInstance> {
    const {seat, seats, table, seeds, secret, bodyBytes} = options;
    starts += 1;
    const identity = {
      id: `i${seat}`,
      incarnation: incarnationOf(Date.now(), String(starts).padStart(5, '0')),
      failureDomain: `d${seat}`,
      cell: 'test',
      seat,
      seats,
      startedAt: CLOCK.now(),
    };
    const configuration = new ReplicatedConfiguration(table, identity.cell, {
      now: CLOCK.now,
      pause: ms => delay(ms),
      reportInvalidRow: () => undefined,
    });
    const refusals: LinkError[] = [];
    const ignored: string[] = [];
    const peers = await Peers.listen({
      identity,
      listen: {host: options.host ?? '127.0.0.1', port: options.port ?? 0},
      secret: secret ?? 'the secret of the test',
      seeds: seeds ?? [],
      bodyBytes: bodyBytes ?? 65_536,
      configuration,
      handlers: peerHandlersOf(options),
      clock: CLOCK,
      wallClock: () => Date.now(),
      random: () => 0.5,
      log: fleetLogTo(refusals, ignored),
    });
    peers.join(`http://127.0.0.1:${10_000 + seat}`);
    const renewalTask = new SeatRenewalTask({
      seats,
      registration: new SeatRegistration(
        table,
        peers.membership,
        configuration,
        CLOCK,
      ),
      configuration,
      fleet: peers,
      clock: CLOCK,
      random: () => 0.5,
      onRenewal: () => undefined,
    });
    return new TestInstance(
      configuration,
      peers,
      refusals,
      ignored,
      renewalTask,
    );
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.renewalTask[Symbol.asyncDispose]();
    await this.peers[Symbol.asyncDispose]();
  }
}

/** Waits until a condition holds; the time limit of the test applies. */
export async function waitUntil(holds: () => boolean): Promise<void> {
  while (!holds()) await delay(5);
}

function peerHandlersOf(options: TestInstanceOptions): PeerHandlers {
  const refuse = async () => refusedNotRun(RefusalReason.OwnerUnreachable);
  return {
    runForwarded: options.forwarded ?? refuse,
    probe: async () => ({kind: 'declined'}),
    recordLeavingStatus: () => undefined,
    recordCrashCounts: () => undefined,
  };
}

function fleetLogTo(refusals: LinkError[], ignored: string[]): FleetLog {
  return {
    linkOpened: () => undefined,
    linkEnded: (unusedLink, err) => void refusals.push(err),
    linkRefused: err => void refusals.push(err),
    messageIgnored: (unusedLink, kind) => void ignored.push(kind),
    servingChanged: () => undefined,
  };
}
