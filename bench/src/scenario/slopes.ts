/**
 * Resource usage of a daemon without calls, by number of instances and of
 * services, for docs/CAPACITY.md.
 */
import type {ServiceConfig} from '@ragworthall/contracts';
import {readFile} from 'node:fs/promises';
import {setTimeout as delay} from 'node:timers/promises';
import type {Cluster, RunningDaemon} from '../launch/cluster.js';
import {
  type Figure,
  type RunOptions,
  ScenarioName,
  type ScenarioResult,
} from './scenario.js';
import {TestBed} from './test_bed.js';
import {configOf, plansOf, type ServicePlan} from './service_plans.js';

/** Processor times in /proc are in clock ticks, the kernel's USER_HZ. */
const CLOCK_TICKS_PER_SECOND = 100;
/** Time for a started fleet to settle before it is measured, milliseconds. */
const SETTLE_MS = 2_500;
const MB = 1_048_576;

/** Mean resource usage of a daemon that handles no calls. */
interface DaemonCost {
  /** Processor time as a share of one core. */
  readonly cpu: number;
  readonly rssBytes: number;
}

/**
 * Measures the cost at two numbers of instances and at two numbers of services,
 * and derives the cost of each further instance and of 100 further services.
 */
export async function slopes(options: RunOptions): Promise<ScenarioResult> {
  const [plan] = plansOf('ubuntu-steps/reservations');
  const baseline = await measureCost(options, plan!, 3, 1);
  const moreInstances = await measureCost(options, plan!, 9, 1);
  const moreServices = await measureCost(options, plan!, 3, 201);
  // Divided by the 6 additional instances and by the 2 hundreds of services.
  const figures: Figure[] = [
    {
      name: '3 instances: processor',
      value: baseline.cpu,
      unit: 'share of a core',
    },
    {name: '3 instances: memory', value: baseline.rssBytes / MB, unit: 'MB'},
    {
      name: 'per instance of the cell: processor',
      value: (moreInstances.cpu - baseline.cpu) / 6,
      unit: 'share of a core',
    },
    {
      name: 'per instance of the cell: memory',
      value: (moreInstances.rssBytes - baseline.rssBytes) / 6 / MB,
      unit: 'MB',
    },
    {
      name: 'per 100 services of 8 backend servers: processor',
      value: (moreServices.cpu - baseline.cpu) / 2,
      unit: 'share of a core',
    },
    {
      name: 'per 100 services of 8 backend servers: memory',
      value: (moreServices.rssBytes - baseline.rssBytes) / 2 / MB,
      unit: 'MB',
    },
  ];
  return {
    scenario: ScenarioName.Slopes,
    options,
    ranks: [],
    figures,
    violations: [],
    observations: [],
    startedAt: 0,
  };
}

async function measureCost(
  options: RunOptions,
  plan: ServicePlan,
  daemons: number,
  services: number,
): Promise<DaemonCost> {
  await using bed = await TestBed.start([plan], options, {daemons});
  await addServices(bed.cluster, plan, services - 1);
  await delay(SETTLE_MS);
  const before = await Promise.all(bed.cluster.daemons.map(cpuTicksOf));
  const startedAt = performance.now();
  await delay(options.seconds * 1000);
  const after = await Promise.all(bed.cluster.daemons.map(cpuTicksOf));
  const seconds = (performance.now() - startedAt) / 1000;
  const usedTicks = after.reduce((sum, t, i) => sum + t - before[i]!, 0);
  const rss = await Promise.all(bed.cluster.daemons.map(rssOf));
  return {
    cpu: usedTicks / CLOCK_TICKS_PER_SECOND / seconds / daemons,
    rssBytes: rss.reduce((sum, r) => sum + r, 0) / daemons,
  };
}

async function addServices(
  cluster: Cluster,
  plan: ServicePlan,
  count: number,
): Promise<void> {
  if (count === 0) return;
  const services: ServiceConfig[] = Array.from({length: count}, (_, i) =>
    configOf({...plan, name: `more-${i}`}, cluster.servers),
  );
  await cluster.apply(services);
  await cluster.waitUntilInForce(`${plan.member}/more-${count - 1}`);
}

/** Returns the processor time used by a daemon, clock ticks (Linux, /proc). */
async function cpuTicksOf({process}: RunningDaemon): Promise<number> {
  const stat = await readFile(`/proc/${process.pid}/stat`, 'utf8');
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  return Number(fields[11]) + Number(fields[12]);
}

/** Returns the resident memory of a daemon, bytes (Linux, /proc). */
async function rssOf({process}: RunningDaemon): Promise<number> {
  const status = await readFile(`/proc/${process.pid}/status`, 'utf8');
  return Number(/VmRSS:\s+(\d+)/.exec(status)![1]) * 1024;
}
