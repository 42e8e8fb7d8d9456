/** The load of a demo run and the events injected while it runs. */
import type {
  Cluster,
  ScheduledAction,
  Load,
  PlannedStop,
} from '@ragworthall/bench';
import {Rank, RANKS, type ServiceConfig} from '@ragworthall/contracts';
import type {LedgerReport} from '@ragworthall/standins';
import {capacityOf, KILLED_SERVER, requestKindsOf} from './demo_services.js';

/** Base load as a fraction of a service's capacity. */
const BASE_LOAD_SHARE = 0.05;
/** Extra load of the lowest rank as a fraction of a service's capacity. */
const OVERLOAD_SHARE = 1.4;
/** Services that get the extra load. */
const OVERLOADED_SERVICES: ReadonlySet<string> = new Set([
  'archive',
  'settlement',
  'grids',
]);
/** Fraction of non-idempotent requests that are sent twice concurrently. */
const RESEND_SHARE = 0.1;
/** Times of events, as fractions of the run's length. */
const OVERLOAD_START = 0.2;
const OVERLOAD_END = 0.55;
const KILL_AT = 0.35;
const RESTART_AT = 0.45;
/** Seat of the daemon to restart. */
const RESTARTED_SEAT = 1;

/** Data collected by the events of a run. */
export interface EventResults {
  readonly stops: PlannedStop[];
  /** Ledger of the killed server, read just before it is killed. */
  killedLedger: LedgerReport | undefined;
}

/** Builds the load of a run: a base load and an overload of some services. */
export function buildLoads(
  services: readonly ServiceConfig[],
  lengthMs: number,
): Load[] {
  return services.flatMap(cfg => [
    ...baseLoads(cfg, lengthMs),
    ...overloadLoads(cfg, lengthMs),
  ]);
}

/** Builds the events injected during the load. */
export function buildEvents(
  cluster: Cluster,
  lengthMs: number,
  results: EventResults,
  logProgress: (line: string) => void,
): ScheduledAction[] {
  return [
    {
      atMs: OVERLOAD_START * lengthMs,
      name: 'overload start',
      act: async () => logProgress(`overload of rank ${Rank.Bulk} begins`),
    },
    {
      atMs: OVERLOAD_END * lengthMs,
      name: 'overload end',
      act: async () => logProgress('overload ends'),
    },
    {
      atMs: KILL_AT * lengthMs,
      name: 'kill',
      act: () => killServer(cluster, results, logProgress),
    },
    {
      atMs: RESTART_AT * lengthMs,
      name: 'restart',
      act: () => restartDaemon(cluster, results, logProgress),
    },
  ];
}

function baseLoads(cfg: ServiceConfig, toMs: number): Load[] {
  const requestKinds = requestKindsOf(cfg);
  const perSecond = (capacityOf(cfg) * BASE_LOAD_SHARE) / requestKinds.length;
  return requestKinds.map(work => ({
    work,
    perSecond,
    fromMs: 0,
    toMs,
    resendShare: work.idempotent ? 0 : RESEND_SHARE,
  }));
}

function overloadLoads(cfg: ServiceConfig, lengthMs: number): Load[] {
  if (!OVERLOADED_SERVICES.has(cfg.name)) return [];
  const lowestRankKinds = requestKindsOf(cfg).filter(
    kind => kind.rank === RANKS.at(-1),
  );
  return lowestRankKinds.map(work => ({
    work,
    perSecond: (capacityOf(cfg) * OVERLOAD_SHARE) / lowestRankKinds.length,
    fromMs: OVERLOAD_START * lengthMs,
    toMs: OVERLOAD_END * lengthMs,
  }));
}

async function killServer(
  cluster: Cluster,
  results: EventResults,
  logProgress: (line: string) => void,
): Promise<void> {
  const server = cluster.servers.find(s => s.id === KILLED_SERVER)!;
  logProgress(`killing the process of backend server ${server.id}`);
  const ledgers = await cluster.fetchLedgers();
  results.killedLedger = ledgers.get(server.id);
  await server.process.kill();
}

async function restartDaemon(
  cluster: Cluster,
  results: EventResults,
  logProgress: (line: string) => void,
): Promise<void> {
  const daemon = cluster.daemons.find(d => d.seat === RESTARTED_SEAT)!;
  logProgress(`stopping daemon ${daemon.id}`);
  const from = performance.now();
  const exitCode = await daemon.process.stop();
  const to = performance.now();
  results.stops.push({instance: daemon.id, exitCode, from, to});
  logProgress(
    `daemon ${daemon.id} stopped with exit code ${exitCode}; starting it again`,
  );
  await cluster.startDaemon(RESTARTED_SEAT);
}
