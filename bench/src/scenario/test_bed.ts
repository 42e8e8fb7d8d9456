/** A cluster with configured services and callers, for a run of a scenario. */
import {setTimeout as delay} from 'node:timers/promises';
import {seededRandom} from './random.js';
import {Caller} from '../caller/caller.js';
import type {Observation} from '../caller/observation.js';
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
import {configOf, serversOf, type ServicePlan} from './service_plans.js';

/** Number of callers in a run. */
const CALLERS = 4;
/** Probe interval that the services' probe budget allows, milliseconds. */
const PROBE_INTERVAL_MS = 600;

/**
 * Time until an owner has a serving confirmation of each of its servers,
 * milliseconds.
 */
const FIRST_CONFIRMATIONS_MS = 4_000;

/** Differences of a scenario's cluster from the default. */
export interface TestBedOptions {
  readonly daemons?: number;
  readonly serviceMs?: number;
  /** Backend servers per process; all run in one process by default. */
  readonly serversPerProcess?: number;
  readonly cluster?: Partial<ClusterOptions>;
}

/** The system under test and its callers. */
export class TestBed implements AsyncDisposable {
  private constructor(
    readonly cluster: Cluster,
    readonly plans: readonly ServicePlan[],
    readonly callers: readonly Caller[],
    readonly rng: ReturnType<typeof seededRandom>,
  ) {}

  /** Starts all processes; resolves when the services are in force. */
  static async start(
    plans: readonly ServicePlan[],
    options: RunOptions,
    bed: TestBedOptions = {},
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
    // A new owner uses a server only after its first serving confirmation.
    await delay(FIRST_CONFIRMATIONS_MS);
    const callers = Array.from(
      {length: CALLERS},
      (_, i) =>
        new Caller(`s${options.seed}c${i}`, () => rotate(urlsOf(cluster), i)),
    );
    return new TestBed(cluster, plans, callers, seededRandom(options.seed));
  }

  /** Returns the history of a run, with the current ledgers. */
  async historyOf(
    observations: readonly Observation[],
    extra: Partial<History> = {},
  ): Promise<History> {
    const ledgers = await this.cluster.fetchLedgers();
    const servers: ServerRecord[] = [...ledgers].map(([id, ledger]) => ({
      id,
      ledger,
      probeIntervalMs: PROBE_INTERVAL_MS,
      probers: this.cluster.daemons.length,
    }));
    return {...EMPTY_HISTORY, observations, servers, ...extra};
  }

  /** Returns the violations in a run, with the current ledgers. */
  async check(
    observations: readonly Observation[],
    extra: Partial<History> = {},
  ): Promise<Violation[]> {
    return checkHistory(await this.historyOf(observations, extra));
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
  bed: TestBedOptions,
): Promise<ReadonlyMap<ServicePlan, readonly RunningServer[]>> {
  const specs = plans.flatMap(plan => serversOf(plan, seed, bed.serviceMs));
  const groupSize = bed.serversPerProcess ?? specs.length;
  const groups = Array.from(
    {length: Math.ceil(specs.length / groupSize)},
    (_, i) => specs.slice(i * groupSize, (i + 1) * groupSize),
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

function rotate<T>(items: readonly T[], by: number): T[] {
  const index = by % Math.max(1, items.length);
  return [...items.slice(index), ...items.slice(0, index)];
}
