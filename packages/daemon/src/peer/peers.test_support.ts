/** A fleet of instances in one process, with real links between them. */
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
import {TableWatch} from '../platform/table_watch.js';
import type {LinkError} from './link_error.js';
import {type FleetLog, Peers} from './peers.js';

/** The clock of the process. */
export const CLOCK = {now: () => performance.now()};

let starts = 0;

/** What a test chooses for one instance. */
export interface TestInstanceOptions {
  readonly seat: number;
  readonly seats: number;
  readonly table: Table;
  readonly seeds?: readonly string[];
  readonly secret?: string;
  readonly bodyBytes?: number;
  /** IP address for peers. */
  readonly host?: string;
  /** Port for peers; a free one by default. */
  readonly port?: number;
  readonly forwarded?: (
    call: Call,
    role: ForwardRole,
    from: string,
    signal: AbortSignal,
  ) => Promise<CallResult>;
}

/** One instance. */
export class TestInstance implements AsyncDisposable {
  private constructor(
    readonly keeper: ReplicatedConfiguration,
    readonly peers: Peers,
    readonly refusals: LinkError[],
    /** Kinds of messages that were ignored. */
    readonly ignored: string[],
    readonly watch: TableWatch,
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
    const keeper = new ReplicatedConfiguration(table, identity.cell, {
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
      keeper,
      handlers: handlersOf(options),
      clock: CLOCK,
      wall: () => Date.now(),
      random: () => 0.5,
      log: logTo(refusals, ignored),
    });
    peers.join(`http://127.0.0.1:${10_000 + seat}`);
    const watch = new TableWatch({
      seats,
      registration: new SeatRegistration(
        table,
        peers.membership,
        keeper,
        CLOCK,
      ),
      keeper,
      fleet: peers,
      clock: CLOCK,
      random: () => 0.5,
      onRenewal: () => undefined,
    });
    return new TestInstance(keeper, peers, refusals, ignored, watch);
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.watch[Symbol.asyncDispose]();
    await this.peers[Symbol.asyncDispose]();
  }
}

/** Waits until a condition holds; the test's own limit ends a hang. */
export async function until(holds: () => boolean): Promise<void> {
  while (!holds()) await delay(5);
}

function handlersOf(options: TestInstanceOptions): PeerHandlers {
  const refuse = async () => refusedNotRun(RefusalReason.OwnerUnreachable);
  return {
    runForwarded: options.forwarded ?? refuse,
    probe: async () => ({kind: 'declined'}),
    recordLeavingStatus: () => undefined,
    recordCrashCounts: () => undefined,
  };
}

function logTo(refusals: LinkError[], ignored: string[]): FleetLog {
  return {
    linked: () => undefined,
    ended: (unusedLink, err) => void refusals.push(err),
    refused: err => void refusals.push(err),
    ignored: (unusedLink, kind) => void ignored.push(kind),
    servingChanged: () => undefined,
  };
}
