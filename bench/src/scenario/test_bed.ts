/** A cluster with services in force and callers, for one run of a scenario. */
import {setTimeout as delay} from 'node:timers/promises';
import {seeded} from './random.js';
import {Caller} from '../caller/caller.js';
import type {Observation} from '../caller/work.js';
import {
  EMPTY_HISTORY,
  type History,
  type ServerRecord,
} from '../history/history.js';
import {checkHistory, type Violation} from '../history/guarantees.js';
import {
  Cluster,
  type ClusterOptions,
  type RunningServer,
} from '../launch/cluster.js';
import type {RunOptions} from './scenario.js';
import {configOf, serversOf, type ServicePlan} from './world.js';

/** Callers of each run. */
const CALLERS = 4;
/** Budget of today's services: one probe each 600 ms. */
const PROBE_INTERVAL_MS = 600;

/** Time until an owner has a sign of each of its servers, milliseconds. */
const FIRST_SIGNS_MS = 4_000;

/** What a scenario changes of the usual cluster. */
export interface BedOptions {
  readonly daemons?: number;
  readonly serviceMs?: number;
  /** Backend servers in one process; the default is one process for all. */
  readonly serversPerProcess?: number;
  readonly cluster?: Partial<ClusterOptions>;
}

/** The system under test with its callers. */
export class TestBed implements AsyncDisposable {
  private constructor(
    readonly cluster: Cluster,
    readonly plans: readonly ServicePlan[],
    readonly callers: readonly Caller[],
    readonly rng: ReturnType<typeof seeded>,
  ) {}

  /** Starts everything; the services are in force when it resolves. */
  static async start(
    plans: readonly ServicePlan[],
    options: RunOptions,
    bed: BedOptions = {},
  ): Promise<TestBed> {
    const members = [...new Set(plans.map(p => p.member))];
    const cluster = await Cluster.start({
      daemons: bed.daemons ?? 3,
      members,
      failureDomains: plans[0]!.failureDomains,
      settings: {dispatch: {policy: options.policy}},
      ...bed.cluster,
    });
    const running = await startServers(cluster, plans, options.seed, bed);
    await cluster.apply(plans.map(plan => configOf(plan, running.get(plan)!)));
    for (const plan of plans) {
      await cluster.waitUntilInForce(`${plan.member}/${plan.name}`);
    }
    // A new owner may use each server only after a first sign that it stays.
    await delay(FIRST_SIGNS_MS);
    const callers = Array.from(
      {length: CALLERS},
      (_, i) =>
        new Caller(`s${options.seed}c${i}`, () => rotated(urlsOf(cluster), i)),
    );
    return new TestBed(cluster, plans, callers, seeded(options.seed));
  }

  /** The history of a run, with the ledgers as they are now. */
  async historyOf(
    observations: readonly Observation[],
    more: Partial<History> = {},
  ): Promise<History> {
    const ledgers = await this.cluster.fetchLedgers();
    const servers: ServerRecord[] = [...ledgers].map(([id, ledger]) => ({
      id,
      ledger,
      probeIntervalMs: PROBE_INTERVAL_MS,
      probers: this.cluster.daemons.length,
    }));
    return {...EMPTY_HISTORY, observations, servers, ...more};
  }

  /** Breaches in a run, with the ledgers as they are now. */
  async check(
    observations: readonly Observation[],
    more: Partial<History> = {},
  ): Promise<Violation[]> {
    return checkHistory(await this.historyOf(observations, more));
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await Promise.all(this.callers.map(c => c[Symbol.asyncDispose]()));
    await this.cluster[Symbol.asyncDispose]();
  }
}

async function startServers(
  cluster: Cluster,
  plans: readonly ServicePlan[],
  seed: number,
  bed: BedOptions,
): Promise<ReadonlyMap<ServicePlan, readonly RunningServer[]>> {
  const specs = plans.flatMap(plan => serversOf(plan, seed, bed.serviceMs));
  const size = bed.serversPerProcess ?? specs.length;
  const groups = Array.from({length: Math.ceil(specs.length / size)}, (_, i) =>
    specs.slice(i * size, (i + 1) * size),
  );
  await Promise.all(groups.map(group => cluster.startServers(group)));
  return new Map(
    plans.map(plan => [
      plan,
      cluster.servers.filter(s => s.id.startsWith(`${plan.name}-`)),
    ]),
  );
}

function urlsOf(cluster: Cluster): readonly string[] {
  return cluster.daemons.map(d => d.callersUrl);
}

function rotated<T>(items: readonly T[], by: number): T[] {
  const at = by % Math.max(1, items.length);
  return [...items.slice(at), ...items.slice(0, at)];
}
