/** Scenarios: store outage, configuration changes and rolling restart. */
import {Rank} from '@ragworthall/contracts';
import {setTimeout as delay} from 'node:timers/promises';
import {isWithinTarget, type Observation} from '../caller/observation.js';
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
import {configOf, plansOf, type ServicePlan} from './service_plans.js';

/** Load as a share of capacity. */
const LOAD_SHARE = 0.4;
/** Share of requests that are sent to two instances at the same time. */
const RESEND_SHARE = 0.05;
/** Largest number of instances that one member runs today. */
const FLEET_SIZE = 7;
/** Pause between two restarts, milliseconds. */
const RESTART_INTERVAL_MS = 500;
/** Length of the part of a run before the first event, milliseconds. */
const BASELINE_MS = 1_500;
/** Time for which the load continues after an outage, milliseconds. */
const RECOVERY_MS = 2_000;

/** Returns the share of a rank's requests that were served within target. */
function withinTargetShare(
  observations: readonly Observation[],
  rank: Rank,
): number {
  const ofRank = observations.filter(o => o.work.rank === rank);
  return ofRank.filter(isWithinTarget).length / Math.max(1, ofRank.length);
}

/** The store is down for most of a run; an instance is replaced meanwhile. */
export async function storeOutage(
  options: RunOptions,
): Promise<ScenarioResult> {
  const [plan] = plansOf('ubuntu-steps/reservations');
  await using bed = await TestBed.start([plan!], options);
  const {cluster} = bed;
  const outageMs = options.seconds * 1000;
  const endMs = BASELINE_MS + outageMs + RECOVERY_MS;
  let changeExitCode: number | null = 0;
  const events = [
    {
      atMs: BASELINE_MS,
      name: 'store down',
      act: () => cluster.setPlatformFaults([{kind: 'unreachable'}]),
    },
    {
      atMs: BASELINE_MS + outageMs / 3,
      name: 'instance replaced',
      act: async () => {
        await cluster.daemons[2]!.process.kill();
        await cluster.startDaemon(2);
      },
    },
    {
      atMs: BASELINE_MS + outageMs / 2,
      name: 'change refused',
      act: async () => {
        const args = ['drain', `ubuntu-steps/${plan!.name}`, `${plan!.name}-1`];
        changeExitCode = (await cluster.runClient(plan!.member, args)).code;
      },
    },
    {
      atMs: BASELINE_MS + outageMs,
      name: 'store back',
      act: () => cluster.setPlatformFaults([]),
    },
  ];
  const run = await runLoad(
    bed.callers,
    loadsOf(plan!, LOAD_SHARE, endMs, RESEND_SHARE),
    events,
    bed.rng,
  );
  const lateInOutage = run.observations.filter(
    o => o.dueAt >= run.startedAt + BASELINE_MS + outageMs / 2,
  );
  const figures: Figure[] = [Rank.Urgent, Rank.Live].map(rank => ({
    name: `rank ${rank}: served within target late in the outage`,
    value: withinTargetShare(lateInOutage, rank),
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
        value: changeExitCode,
        unit: 'count',
        target: {atLeast: 4},
      },
    ],
    violations: await bed.check(run.observations, {hadFaults: true}),
    ...run,
  };
}

/** Measures the time until a change is in force in all instances. */
export async function configSpread(
  options: RunOptions,
): Promise<ScenarioResult> {
  const [plan] = plansOf('ubuntu-steps/reservations');
  await using bed = await TestBed.start([plan!], options, {
    daemons: FLEET_SIZE,
  });
  const until = performance.now() + options.seconds * 1000;
  const times: number[] = [];
  for (let i = 0; performance.now() < until; i += 1) {
    times.push(await measurePropagation(bed, plan!, i));
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

/**
 * Applies one change; resolves with the time from the first instance in which
 * it is in force until all others follow.
 */
async function measurePropagation(
  bed: TestBed,
  plan: ServicePlan,
  count: number,
): Promise<number> {
  const name = `spread-${count}`;
  const service = configOf({...plan, name}, bed.cluster.servers);
  // Timed from the first instance, to exclude the start of the client process.
  const applied = bed.cluster.apply([service]);
  const firstAt = await firstInForce(bed, `${plan.member}/${name}`);
  await bed.cluster.waitUntilInForce(`${plan.member}/${name}`);
  const propagationMs = performance.now() - firstAt;
  await applied;
  return propagationMs;
}

/** Interval between polls of the instances, milliseconds. */
const POLL_INTERVAL_MS = 5;

/** Resolves with the time at which a change is in force in any instance. */
async function firstInForce(bed: TestBed, serviceId: string): Promise<number> {
  for (;;) {
    const polledAt = performance.now();
    const inForce = await Promise.all(
      bed.cluster.daemons.map(async d => {
        const res = await fetch(`${d.callersUrl}/v1/addresses/${serviceId}`);
        await res.arrayBuffer();
        return res.status === 200;
      }),
    );
    if (inForce.some(Boolean)) return polledAt;
    await delay(POLL_INTERVAL_MS);
  }
}

/** All instances are replaced one after another under load. */
export async function rollingRestart(
  options: RunOptions,
): Promise<ScenarioResult> {
  const plans = plansOf('ubuntu-steps/reservations', 'ubuntu-steps/listings');
  await using bed = await TestBed.start(plans, options, {
    daemons: FLEET_SIZE,
  });
  const {cluster} = bed;
  const stops: PlannedStop[] = [];
  const restart = async (seat: number) => {
    const {id, process} = cluster.daemons[seat]!;
    const from = performance.now();
    const exitCode = await process.stop();
    stops.push({instance: id, exitCode, from, to: performance.now()});
    await cluster.startDaemon(seat);
    await delay(RESTART_INTERVAL_MS);
  };
  const restartAll = async () => {
    for (const {seat} of [...cluster.daemons]) await restart(seat);
  };
  // Allows 8.5 s for each replacement: the stop alone takes as long as callers
  // may cache an address answer.
  const endMs = BASELINE_MS + FLEET_SIZE * 8_500;
  const loads = plans.flatMap(plan =>
    loadsOf(plan, LOAD_SHARE, endMs, RESEND_SHARE),
  );
  const events = [
    {atMs: BASELINE_MS, name: 'rolling restart', act: restartAll},
  ];
  const run = await runLoad(bed.callers, loads, events, bed.rng);
  const figures: Figure[] = [Rank.Urgent, Rank.Live].map(rank => ({
    name: `rank ${rank}: served within target`,
    value: withinTargetShare(run.observations, rank),
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
        target: {atLeast: FLEET_SIZE},
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
