/**
 * One run of the gateway's processes under load while faults come at them on a
 * schedule that follows from a seed, and the history that is left of it.
 */
import type {Runs} from '@ragworthall/standins';
import {setTimeout as delay} from 'node:timers/promises';
import {
  merged,
  play,
  poissonTimes,
  type Timed,
  uniform,
} from '../caller/arrivals.js';
import {EventLog} from '../history/event_log.js';
import type {FaultRun} from '../history/fault_run.js';
import type {RevisionSample, ServerRecord} from '../history/history.js';
import {seeded} from '../scenario/random.js';
import {GatewayCaller, type GatewayWork, WORKS} from './gateway_caller.js';
import {type ClusterServer, GatewayCluster} from './gateway_cluster.js';
import {type GatewayFault, planGatewayFaults} from './gateway_fault.js';
import {GatewayInjector} from './gateway_injector.js';
import {DisturbanceLog} from './disturbance_log.js';

const SERVERS = 10;
/** Requests a second of each kind of work. */
const PER_SECOND = 40;
/** Bounds of the smallest deployment, milliseconds. */
const IN_FORCE_MS = 2_000;
const LEAVING_MS = 2_000;
/** Probes that each server bears in a second. */
const PROBES_PER_S = 60;
/** Time between two looks at the versions in force, milliseconds. */
const SAMPLE_MS = 250;
/** Time in which all instances have to serve again, milliseconds. */
const RECOVERY_MS = 15_000;

type Step =
  | {readonly kind: 'request'; readonly work: GatewayWork}
  | {readonly kind: 'fault'; readonly fault: GatewayFault};

/** Runs the system for a time; the load and the faults follow from the seed. */
export async function runGatewayWithFaults(
  seed: number,
  lengthMs: number,
  instances: number,
): Promise<FaultRun> {
  const rng = seeded(seed);
  const log = new EventLog();
  const touch = new DisturbanceLog();
  const sizes = {instances, servers: SERVERS};
  const network = `127.${1 + (process.pid % 250)}`;
  await using cluster = await GatewayCluster.start(sizes, network);
  await using caller = new GatewayCaller(`g${seed}`);
  const injector = new GatewayInjector(cluster, touch, log);
  const over = new AbortController();
  const sampling = sampleVersions(cluster, touch, over.signal);
  const faults = planGatewayFaults(rng, sizes, lengthMs);
  const steps = merged<Step>(
    faults.map(({at, what: fault}) => ({at, what: {kind: 'fault', fault}})),
    ...WORKS.map(work =>
      requestsOf(work, poissonTimes(PER_SECOND, lengthMs, rng)),
    ),
  );
  const startedAt = performance.now();
  const pending: Promise<unknown>[] = [];
  await play(steps, step => {
    switch (step.kind) {
      case 'request': {
        const used = cluster.instances.filter(i => injector.isUsed(i));
        const at = Math.floor(uniform(rng) * used.length) % used.length;
        pending.push(caller.send(used[at]!.process.callersUrl, step.work));
        return;
      }
      case 'fault':
        return injector.inject(step.fault);
      default:
        step satisfies never;
    }
  });
  await Promise.all(pending);
  await injector.endAll();
  const recovered = await servesAgain(cluster, caller);
  over.abort();
  const revisions = await sampling;
  const history = {
    observations: caller.observations,
    servers: cluster.servers.map(s => recordOf(s, cluster, caller, touch)),
    accepted: injector.accepted,
    revisions,
    stops: injector.stops,
    hadFaults: true,
    inForceLimitMs: IN_FORCE_MS,
    leavingLimitMs: LEAVING_MS,
  };
  return {seed, history, log, startedAt, recovered};
}

function requestsOf(
  work: GatewayWork,
  times: readonly number[],
): Timed<Step>[] {
  return times.map(at => ({at, what: {kind: 'request', work}}));
}

/** Notes which version each instance has in force, until the signal comes. */
async function sampleVersions(
  cluster: GatewayCluster,
  touch: DisturbanceLog,
  signal: AbortSignal,
): Promise<RevisionSample[]> {
  const samples: RevisionSample[] = [];
  while (!signal.aborted) {
    const asked = cluster.instances.map(async ({process}) => {
      const {id} = process.identity;
      const incarnation = `${id}#${process.incarnation}`;
      // Before it is asked: what it says may be from then.
      const at = Date.now();
      const now = performance.now();
      const revision = await process.configurationVersion();
      if (revision === undefined) return;
      const serving = touch.holds(id, now - IN_FORCE_MS, performance.now());
      samples.push({instance: id, incarnation, revision, serving, at});
    });
    await Promise.all(asked);
    await delay(SAMPLE_MS);
  }
  return samples;
}

/** Whether every instance serves a request of each kind in time. */
async function servesAgain(
  cluster: GatewayCluster,
  caller: GatewayCaller,
): Promise<boolean> {
  const until = performance.now() + RECOVERY_MS;
  const served = await Promise.all(
    cluster.instances.flatMap(({process}) =>
      WORKS.map(async work => {
        while (performance.now() < until) {
          const {ending} = await caller.send(process.callersUrl, work);
          if (ending.kind === 'answered' && ending.status === 200) return true;
          await delay(SAMPLE_MS);
        }
        return false;
      }),
    ),
  );
  return !served.includes(false);
}

/** What one server recorded, as far as it binds instances in touch. */
function recordOf(
  {worker, leavingSince}: ClusterServer,
  cluster: GatewayCluster,
  caller: GatewayCaller,
  touch: DisturbanceLog,
): ServerRecord {
  const runs: Record<string, Runs> = {};
  worker.runs.forEach(({id}) => {
    const count = (runs[id]?.count ?? 0) + 1;
    runs[id] = {count, finished: 0, cancelled: 0};
  });
  const senders = new Map(
    caller.observations.flatMap(o => o.copies).map(c => [c.key, c.url]),
  );
  const ids = new Map(
    cluster.instances.map(({process}) => [
      process.callersUrl,
      process.identity.id,
    ]),
  );
  const isBound = (id: string, at: number) => {
    const sender = ids.get(senders.get(id) ?? '');
    return sender !== undefined && touch.holds(sender, leavingSince ?? at, at);
  };
  const late = worker.runs.filter(
    ({id, at}) =>
      leavingSince !== undefined && at > leavingSince && isBound(id, at),
  );
  const ledger = {
    runs,
    shed: [],
    cancelledWaiting: [],
    probes: worker.probeTimes,
    workAfterDraining: late.map(({at}) => at),
    ...(leavingSince !== undefined && {drainingSince: leavingSince}),
    maxConcurrent: 0,
  };
  return {
    id: worker.id,
    ledger,
    probeIntervalMs: 1_000 / PROBES_PER_S,
    probers: PROBES_PER_S,
  };
}
