/** Slopes of a daemon's control cost, for docs/CAPACITY.md. */
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
import {configOf, plansOf, type ServicePlan} from './world.js';

/** Clock ticks of the kernel's accounting in a second. */
const TICKS_PER_SECOND = 100;
/** Time for a fleet to settle before it is measured, milliseconds. */
const SETTLE_MS = 2_500;
const MB = 1_048_576;

/** What a daemon costs while it carries no calls. */
interface Cost {
  /** Share of a core. */
  readonly cpu: number;
  readonly rssBytes: number;
}

/** Measures cost at two sizes along each axis, and gives the slopes. */
export async function slopes(options: RunOptions): Promise<ScenarioResult> {
  const [plan] = plansOf('ubuntu-steps/reservations');
  const base = await costOf(options, plan!, 3, 1);
  const wide = await costOf(options, plan!, 9, 1);
  const full = await costOf(options, plan!, 3, 201);
  const figures: Figure[] = [
    {name: '3 instances: processor', value: base.cpu, unit: 'share of a core'},
    {name: '3 instances: memory', value: base.rssBytes / MB, unit: 'MB'},
    {
      name: 'per instance of the cell: processor',
      value: (wide.cpu - base.cpu) / 6,
      unit: 'share of a core',
    },
    {
      name: 'per instance of the cell: memory',
      value: (wide.rssBytes - base.rssBytes) / 6 / MB,
      unit: 'MB',
    },
    {
      name: 'per 100 services of 8 backend servers: processor',
      value: (full.cpu - base.cpu) / 2,
      unit: 'share of a core',
    },
    {
      name: 'per 100 services of 8 backend servers: memory',
      value: (full.rssBytes - base.rssBytes) / 2 / MB,
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

async function costOf(
  options: RunOptions,
  plan: ServicePlan,
  daemons: number,
  services: number,
): Promise<Cost> {
  await using bed = await TestBed.start([plan], options, {daemons});
  await applyServices(bed.cluster, plan, services - 1);
  await delay(SETTLE_MS);
  const before = await Promise.all(bed.cluster.daemons.map(ticksOf));
  const startedAt = performance.now();
  await delay(options.seconds * 1000);
  const after = await Promise.all(bed.cluster.daemons.map(ticksOf));
  const seconds = (performance.now() - startedAt) / 1000;
  const used = after.reduce((sum, t, i) => sum + t - before[i]!, 0);
  const rss = await Promise.all(bed.cluster.daemons.map(rssOf));
  return {
    cpu: used / TICKS_PER_SECOND / seconds / daemons,
    rssBytes: rss.reduce((sum, r) => sum + r, 0) / daemons,
  };
}

async function applyServices(
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

/** Processor time of a daemon so far, clock ticks (Linux, /proc). */
async function ticksOf({process}: RunningDaemon): Promise<number> {
  const stat = await readFile(`/proc/${process.pid}/stat`, 'utf8');
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  return Number(fields[11]) + Number(fields[12]);
}

/** Resident memory of a daemon, bytes (Linux, /proc). */
async function rssOf({process}: RunningDaemon): Promise<number> {
  const status = await readFile(`/proc/${process.pid}/status`, 'utf8');
  return Number(/VmRSS:\s+(\d+)/.exec(status)![1]) * 1024;
}
