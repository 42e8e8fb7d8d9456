/** What callers send in a run, and what is done to the system meanwhile. */
import type {Cluster, Event, Load, PlannedStop} from '@ragworthall/bench';
import {Rank, RANKS, type ServiceConfig} from '@ragworthall/contracts';
import type {LedgerReport} from '@ragworthall/standins';
import {capacityOf, KILLED_SERVER, worksOf} from './demo_services.js';

/** Load without a flood, as a share of a service's capacity. */
const BASE_SHARE = 0.05;
/** Flood of the lowest rank, as a share of a service's capacity. */
const FLOOD_SHARE = 1.4;
/** Services that are flooded. */
const FLOODED: ReadonlySet<string> = new Set([
  'archive',
  'settlement',
  'grids',
]);
/** Share of requests that must not repeat and are sent twice at once. */
const RESEND_SHARE = 0.1;
/** Parts of the run's length. */
const FLOOD_FROM = 0.2;
const FLOOD_TO = 0.55;
const KILL_AT = 0.35;
const RESTART_AT = 0.45;
/** Seat of the daemon that is restarted. */
const RESTARTED_SEAT = 1;

/** What the events of a run left behind. */
export interface EventRecord {
  readonly stops: PlannedStop[];
  /** Ledger of the killed server, read right before the kill. */
  killedLedger: LedgerReport | undefined;
}

/** Returns the load of a run. */
export function loadsOf(
  services: readonly ServiceConfig[],
  lengthMs: number,
): Load[] {
  return services.flatMap(cfg => [
    ...baseOf(cfg, lengthMs),
    ...floodOf(cfg, lengthMs),
  ]);
}

/** Returns what is done to the system during the load. */
export function eventsOf(
  cluster: Cluster,
  lengthMs: number,
  record: EventRecord,
  say: (line: string) => void,
): Event[] {
  return [
    {
      atMs: FLOOD_FROM * lengthMs,
      name: 'flood',
      act: async () => say(`a flood of rank ${Rank.Bulk} begins`),
    },
    {
      atMs: FLOOD_TO * lengthMs,
      name: 'flood ends',
      act: async () => say('the flood ends'),
    },
    {
      atMs: KILL_AT * lengthMs,
      name: 'kill',
      act: () => kill(cluster, record, say),
    },
    {
      atMs: RESTART_AT * lengthMs,
      name: 'restart',
      act: () => restart(cluster, record, say),
    },
  ];
}

function baseOf(cfg: ServiceConfig, toMs: number): Load[] {
  const works = worksOf(cfg);
  const perSecond = (capacityOf(cfg) * BASE_SHARE) / works.length;
  return works.map(work => ({
    work,
    perSecond,
    fromMs: 0,
    toMs,
    resendShare: work.idempotent ? 0 : RESEND_SHARE,
  }));
}

function floodOf(cfg: ServiceConfig, lengthMs: number): Load[] {
  if (!FLOODED.has(cfg.name)) return [];
  const lowest = worksOf(cfg).filter(work => work.rank === RANKS.at(-1));
  return lowest.map(work => ({
    work,
    perSecond: (capacityOf(cfg) * FLOOD_SHARE) / lowest.length,
    fromMs: FLOOD_FROM * lengthMs,
    toMs: FLOOD_TO * lengthMs,
  }));
}

async function kill(
  cluster: Cluster,
  record: EventRecord,
  say: (line: string) => void,
): Promise<void> {
  const server = cluster.servers.find(s => s.id === KILLED_SERVER)!;
  say(`the process of backend server ${server.id} is killed`);
  const ledgers = await cluster.fetchLedgers();
  record.killedLedger = ledgers.get(server.id);
  await server.process.kill();
}

async function restart(
  cluster: Cluster,
  record: EventRecord,
  say: (line: string) => void,
): Promise<void> {
  const daemon = cluster.daemons.find(d => d.seat === RESTARTED_SEAT)!;
  say(`daemon ${daemon.id} is told to stop`);
  const from = performance.now();
  const exitCode = await daemon.process.stop();
  const to = performance.now();
  record.stops.push({instance: daemon.id, exitCode, from, to});
  say(`daemon ${daemon.id} stopped with exit code ${exitCode}, and starts`);
  await cluster.startDaemon(RESTARTED_SEAT);
}
