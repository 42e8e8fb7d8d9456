/** Changes of the fleet: configuration, store outages, restarts. */
import {Rank} from '@ragworthall/contracts';
import {setTimeout as delay} from 'node:timers/promises';
import {isWithinTarget, type Observation} from '../caller/work.js';
import type {PlannedStop} from '../history/history.js';
import {percentilesOf, summarize} from '../report/summary.js';
import {loadsOf, runLoad} from './load.js';
import {
  type Figure,
  type RunOptions,
  ScenarioName,
  type ScenarioResult,
} from './scenario.js';
import {TestBed} from './test_bed.js';
import {configOf, plansOf, type ServicePlan} from './world.js';

/** Load as a share of capacity. */
const LOAD = 0.4;
/** Share of requests that are sent twice at once. */
const RESENDS = 0.05;
/** Instances that one of the members has today, at most. */
const FLEET_OF_TODAY = 7;
/** Time between two restarts, milliseconds. */
const BETWEEN_RESTARTS_MS = 500;
/** Part of a run before anything happens, milliseconds. */
const CALM_MS = 1_500;
/** Time after an outage in which load goes on, milliseconds. */
const AFTER_MS = 2_000;

function within(seen: readonly Observation[], rank: Rank): number {
  const own = seen.filter(o => o.work.rank === rank);
  return own.filter(isWithinTarget).length / Math.max(1, own.length);
}

/** The store is down for most of a run; one daemon starts meanwhile. */
export async function storeOutage(
  options: RunOptions,
): Promise<ScenarioResult> {
  const [plan] = plansOf('ubuntu-steps/reservations');
  await using bed = await TestBed.start([plan!], options);
  const {cluster} = bed;
  const outageMs = options.seconds * 1000;
  const endMs = CALM_MS + outageMs + AFTER_MS;
  let changeCode: number | null = 0;
  const events = [
    {
      atMs: CALM_MS,
      name: 'store down',
      act: () => cluster.setPlatformFaults([{kind: 'unreachable'}]),
    },
    {
      atMs: CALM_MS + outageMs / 3,
      name: 'instance replaced',
      act: async () => {
        await cluster.daemons[2]!.process.kill();
        await cluster.startDaemon(2);
      },
    },
    {
      atMs: CALM_MS + outageMs / 2,
      name: 'change refused',
      act: async () => {
        const args = ['drain', `ubuntu-steps/${plan!.name}`, `${plan!.name}-1`];
        changeCode = (await cluster.runClient(plan!.member, args)).code;
      },
    },
    {
      atMs: CALM_MS + outageMs,
      name: 'store back',
      act: () => cluster.setPlatformFaults([]),
    },
  ];
  const run = await runLoad(
    bed.callers,
    loadsOf(plan!, LOAD, endMs, RESENDS),
    events,
    bed.rng,
  );
  const late = run.observations.filter(
    o => o.dueAt >= run.startedAt + CALM_MS + outageMs / 2,
  );
  const figures: Figure[] = [Rank.Urgent, Rank.Live].map(rank => ({
    name: `rank ${rank}: served within target late in the outage`,
    value: within(late, rank),
    unit: 'ratio',
    target: {atLeast: 0.99},
  }));
  return {
    scenario: ScenarioName.StoreOutage,
    options,
    ranks: summarize(run.observations),
    figures: [
      ...figures,
      {
        name: 'exit code of a change (5: unavailable)',
        value: changeCode,
        unit: 'count',
        target: {atLeast: 4},
      },
    ],
    violations: await bed.check(run.observations, {hadFaults: true}),
    ...run,
  };
}

/** Time from an apply's start until every instance serves by it. */
export async function configSpread(
  options: RunOptions,
): Promise<ScenarioResult> {
  const [plan] = plansOf('ubuntu-steps/reservations');
  await using bed = await TestBed.start([plan!], options, {
    daemons: FLEET_OF_TODAY,
  });
  const until = performance.now() + options.seconds * 1000;
  const times: number[] = [];
  for (let i = 0; performance.now() < until; i += 1) {
    times.push(await spreadOnce(bed, plan!, i));
  }
  const [p50, p99] = percentilesOf(times, 50, 99);
  return {
    scenario: ScenarioName.ConfigSpread,
    options,
    ranks: [],
    figures: [
      {name: 'changes', value: times.length, unit: 'count'},
      {name: 'in force in all, p50', value: p50!, unit: 'ms'},
      {
        name: 'in force in all, p99',
        value: p99!,
        unit: 'ms',
        target: {atMost: 1_000},
      },
    ],
    violations: await bed.check([]),
    observations: [],
    startedAt: 0,
  };
}

/** Makes one change; resolves with the time until all answer by it. */
async function spreadOnce(
  bed: TestBed,
  plan: ServicePlan,
  count: number,
): Promise<number> {
  const name = `spread-${count}`;
  const service = configOf({...plan, name}, bed.cluster.servers);
  // The client's own start is not part of the spread.
  const applied = bed.cluster.apply([service]);
  const first = await firstInForce(bed, `${plan.member}/${name}`);
  await bed.cluster.waitUntilInForce(`${plan.member}/${name}`);
  const spreadMs = performance.now() - first;
  await applied;
  return spreadMs;
}

/** Time between two looks, milliseconds. */
const LOOK_MS = 5;

/** Resolves with the time at which the first instance answers by a change. */
async function firstInForce(bed: TestBed, serviceId: string): Promise<number> {
  for (;;) {
    const before = performance.now();
    const found = await Promise.all(
      bed.cluster.daemons.map(async d => {
        const res = await fetch(`${d.callersUrl}/v1/addresses/${serviceId}`);
        await res.arrayBuffer();
        return res.status === 200;
      }),
    );
    if (found.some(Boolean)) return before;
    await delay(LOOK_MS);
  }
}

/** All instances are replaced one after the other under load. */
export async function rollingRestart(
  options: RunOptions,
): Promise<ScenarioResult> {
  const plans = plansOf('ubuntu-steps/reservations', 'ubuntu-steps/listings');
  await using bed = await TestBed.start(plans, options, {
    daemons: FLEET_OF_TODAY,
  });
  const {cluster} = bed;
  const stops: PlannedStop[] = [];
  const restart = async (seat: number) => {
    const {id, process} = cluster.daemons[seat]!;
    const from = performance.now();
    const exitCode = await process.stop();
    stops.push({instance: id, exitCode, from, to: performance.now()});
    await cluster.startDaemon(seat);
    await delay(BETWEEN_RESTARTS_MS);
  };
  const restartAll = async () => {
    for (const {seat} of [...cluster.daemons]) await restart(seat);
  };
  // A stop takes as long as callers keep an address answer.
  const endMs = CALM_MS + FLEET_OF_TODAY * 8_500;
  const loads = plans.flatMap(plan => loadsOf(plan, LOAD, endMs, RESENDS));
  const events = [{atMs: CALM_MS, name: 'rolling restart', act: restartAll}];
  const run = await runLoad(bed.callers, loads, events, bed.rng);
  const figures: Figure[] = [Rank.Urgent, Rank.Live].map(rank => ({
    name: `rank ${rank}: served within target`,
    value: within(run.observations, rank),
    unit: 'ratio',
    target: {atLeast: 0.99},
  }));
  const violations = await bed.check(run.observations, {stops});
  return {
    scenario: ScenarioName.RollingRestart,
    options,
    ranks: summarize(run.observations),
    figures: [
      ...figures,
      {
        name: 'instances replaced',
        value: stops.length,
        unit: 'count',
        target: {atLeast: FLEET_OF_TODAY},
      },
      {
        name: 'breaches',
        value: violations.length,
        unit: 'count',
        target: {atMost: 0},
      },
    ],
    violations,
    ...run,
  };
}
