/**
 * One run of real daemons under load while faults come at them on a schedule
 * that follows from a seed, and the history that is left of it.
 */
import type {ServiceConfig} from '@ragworthall/contracts';
import type {RandomGenerator} from 'pure-rand/types/RandomGenerator';
import {
  merged,
  play,
  poissonTimes,
  type Timed,
  uniform,
} from '../caller/arrivals.js';
import {Caller, type Resend} from '../caller/caller.js';
import type {Observation, WorkKind} from '../caller/work.js';
import {Cluster} from '../launch/cluster.js';
import {seeded} from '../scenario/random.js';
import {
  configOf,
  plansOf,
  serversOf,
  type ServicePlan,
  worksOf,
} from '../scenario/world.js';
import {EventLog} from './event_log.js';
import {FaultInjector} from './fault_injector.js';
import {CRASH_TEXT, type Fault, planFaults} from './fault_plan.js';
import type {History, ServerRecord} from './history.js';
import {Operators} from './operators.js';

const DAEMONS = 3;
const SERVER_PROCESSES = 3;
/** Backend servers of each service; one in each process. */
const SERVERS_PER_SERVICE = SERVER_PROCESSES;
const CALLERS = 4;
/** Requests a second of each kind of work. */
const PER_SECOND = 25;
/** Requests a second that crash the servers which have that fault. */
const CRASHING_PER_SECOND = 1;
/** Share of requests that must not repeat and are sent again all the same. */
const RESEND_SHARE = 0.4;
/** Longest time until a resend, milliseconds. */
const LATEST_RESEND_MS = 4_000;
/** Budget of the services: one probe each 600 ms. */
const PROBE_INTERVAL_MS = 600;
/** Time that the fleet gets to serve again after the faults, milliseconds. */
const RECOVERY_MS = 20_000;

/** What a run left. */
export interface FaultRun {
  readonly seed: number;
  readonly history: History;
  readonly log: EventLog;
  /** Start of the load on the callers' clock, milliseconds. */
  readonly startedAt: number;
  /** Whether all instances served by the newest revision at the end. */
  readonly recovered: boolean;
}

/** What is sent or done at a time. */
type Step =
  | {readonly kind: 'request'; readonly work: WorkKind}
  | {readonly kind: 'crashing'}
  | {readonly kind: 'fault'; readonly fault: Fault};

/** Runs the system for a time; all that happens follows from the seed. */
export async function runDaemonsWithFaults(
  seed: number,
  lengthMs: number,
): Promise<FaultRun> {
  const rng = seeded(seed);
  const log = new EventLog();
  const plans = plansOf(
    'ubuntu-steps/reservations',
    'ubuntu-steps/settlement',
    'altamar/playlists',
  ).map(plan => ({...plan, servers: SERVERS_PER_SERVICE}));
  await using cluster = await startCluster(plans, seed);
  const services = configs(plans, cluster);
  await cluster.apply(services);
  for (const {member, name} of services) {
    await cluster.waitUntilInForce(`${member}/${name}`);
  }
  const operators = new Operators(cluster, services.at(-1)!, log);
  const injector = new FaultInjector(cluster, log, seats =>
    operators.race(seats),
  );
  await using callers = new Callers(cluster, rng, seed);
  const stopped = new AbortController();
  const watching = operators.watch(stopped.signal);
  const startedAt = performance.now();
  await callers.send(stepsOf(plans, rng, lengthMs), fault =>
    injector.inject(fault),
  );
  await injector.endAll();
  const recovered = await operators.converged(RECOVERY_MS);
  stopped.abort();
  await watching;
  const history: History = {
    observations: callers.observations,
    servers: await serverRecords(cluster, injector),
    accepted: operators.accepted,
    recordedChanges: operators.lasting,
    revisions: operators.revisions,
    stops: injector.stops,
    hadFaults: true,
  };
  return {seed, history, log, startedAt, recovered};
}

/** Callers that send what a schedule says. */
class Callers implements AsyncDisposable {
  readonly observations: Observation[] = [];
  private readonly callers: readonly Caller[];
  private readonly pending = new Set<Promise<unknown>>();

  constructor(
    cluster: Cluster,
    private readonly rng: RandomGenerator,
    seed: number,
  ) {
    const urls = () => cluster.daemons.map(d => d.callersUrl);
    this.callers = Array.from(
      {length: CALLERS},
      (unused, i) => new Caller(`s${seed}c${i}`, () => rotated(urls(), i)),
    );
  }

  /** Carries out all steps; resolves when each has come to its end. */
  async send(
    steps: readonly Timed<Step>[],
    inject: (fault: Fault) => Promise<void>,
  ): Promise<void> {
    await play(steps, (step, dueAt) =>
      this.track(this.carryOut(step, dueAt, inject)),
    );
    while (this.pending.size > 0) await Promise.all(this.pending);
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await Promise.all(this.callers.map(c => c[Symbol.asyncDispose]()));
  }

  private async carryOut(
    step: Step,
    dueAt: number,
    inject: (fault: Fault) => Promise<void>,
  ): Promise<void> {
    const caller = this.callers[this.below(CALLERS)]!;
    switch (step.kind) {
      case 'request': {
        const resends = step.work.idempotent ? [] : this.resends();
        const seen = await caller.sendWithResends(step.work, dueAt, resends);
        this.observations.push(seen);
        return;
      }
      case 'crashing':
        return caller.sendContent(worksOf(RESERVATIONS)[0]!, CRASH_TEXT);
      case 'fault':
        return inject(step.fault);
      default:
        step satisfies never;
    }
  }

  /** Copies at once and later, through other instances. */
  private resends(): readonly Resend[] {
    if (uniform(this.rng) > RESEND_SHARE) return [];
    const afterMs = uniform(this.rng) * LATEST_RESEND_MS;
    return [
      {afterMs: 0, address: 1},
      {afterMs, address: this.below(DAEMONS)},
    ];
  }

  private below(count: number): number {
    return Math.min(count - 1, Math.floor(uniform(this.rng) * count));
  }

  private track(step: Promise<void>): void {
    this.pending.add(step);
    void step.finally(() => this.pending.delete(step));
  }
}

const [RESERVATIONS] = plansOf('ubuntu-steps/reservations') as [ServicePlan];

function stepsOf(
  plans: readonly ServicePlan[],
  rng: RandomGenerator,
  lengthMs: number,
): Timed<Step>[] {
  const faults = planFaults(rng, lengthMs, {
    daemons: DAEMONS,
    servers: plans.length * SERVERS_PER_SERVICE,
  });
  const requests = plans.flatMap(worksOf).map(work =>
    poissonTimes(PER_SECOND, lengthMs, rng).map(at => ({
      at,
      what: {kind: 'request', work} as const,
    })),
  );
  const crashing = poissonTimes(CRASHING_PER_SECOND, lengthMs, rng);
  return merged<Step>(
    ...requests,
    crashing.map(at => ({at, what: {kind: 'crashing'}})),
    faults.map(({at, what}) => ({at, what: {kind: 'fault', fault: what}})),
  );
}

/** Starts all processes; each process of servers has some of each service. */
async function startCluster(
  plans: readonly ServicePlan[],
  seed: number,
): Promise<Cluster> {
  const cluster = await Cluster.start({
    daemons: DAEMONS,
    members: [...new Set(plans.map(p => p.member))],
    failureDomains: ['domain-a', 'domain-b', 'domain-c'],
  });
  const specs = plans.flatMap(plan => serversOf(plan, seed));
  for (let group = 0; group < SERVER_PROCESSES; group += 1) {
    const own = specs.filter((unused, i) => i % SERVER_PROCESSES === group);
    await cluster.startServers(own);
  }
  return cluster;
}

function configs(
  plans: readonly ServicePlan[],
  cluster: Cluster,
): ServiceConfig[] {
  return plans.map(plan =>
    configOf(
      plan,
      cluster.servers.filter(s => s.id.startsWith(`${plan.name}-`)),
    ),
  );
}

async function serverRecords(
  cluster: Cluster,
  injector: FaultInjector,
): Promise<readonly ServerRecord[]> {
  const ledgers = [...(await cluster.fetchLedgers()), ...injector.lastLedgers];
  return ledgers.map(([id, ledger]) => ({
    id,
    ledger,
    probeIntervalMs: PROBE_INTERVAL_MS,
    probers: DAEMONS,
  }));
}

function rotated<T>(items: readonly T[], by: number): T[] {
  const at = by % Math.max(1, items.length);
  return [...items.slice(at), ...items.slice(0, at)];
}
