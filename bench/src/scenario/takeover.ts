/** How long a service is without its scheduler after a crash of the owner. */
import type {AddressAnswer} from '@ragworthall/contracts';
import {setTimeout as delay} from 'node:timers/promises';
import type {RunningDaemon} from '../launch/cluster.js';
import {percentilesOf} from '../report/summary.js';
import {
  type RunOptions,
  ScenarioName,
  type ScenarioResult,
} from './scenario.js';
import {TestBed} from './test_bed.js';
import {plansOf} from './world.js';

/** Bound that was stated, milliseconds. */
const BOUND_MS = 2_000;
/** Time between two tries, milliseconds. */
const TRY_MS = 20;
/** Time until a replaced instance has joined again, milliseconds. */
const REJOIN_MS = 2_000;
/** Crashes at the least, however short the run. */
const MIN_CRASHES = 3;
const SERVICE = 'ubuntu-steps/listings';

/** Kills the owner again and again; measures until another one answers. */
export async function takeover(options: RunOptions): Promise<ScenarioResult> {
  const plans = plansOf(SERVICE);
  await using bed = await TestBed.start(plans, options, {
    daemons: 5,
    serviceMs: 1,
  });
  const until = performance.now() + options.seconds * 1000;
  const times: number[] = [];
  while (times.length < MIN_CRASHES || performance.now() < until) {
    times.push(await crashOwner(bed));
    await delay(REJOIN_MS);
  }
  const [p50] = percentilesOf(times, 50);
  return {
    scenario: ScenarioName.Takeover,
    options,
    ranks: [],
    figures: [
      {name: 'crashes', value: times.length, unit: 'count'},
      {name: 'until the next answer, p50', value: p50!, unit: 'ms'},
      {
        name: 'until the next answer, longest',
        value: Math.max(...times),
        unit: 'ms',
        target: {atMost: BOUND_MS},
      },
    ],
    violations: await bed.check([], {hadFaults: true}),
    observations: [],
    startedAt: 0,
  };
}

/** Kills the owner; resolves with the time until a request is answered. */
async function crashOwner(bed: TestBed): Promise<number> {
  const {daemons} = bed.cluster;
  const owner = await ownerOf(daemons);
  const others = daemons.filter(d => d !== owner);
  await owner.process.kill();
  const startedAt = performance.now();
  while (!(await anyAnswers(others))) await delay(TRY_MS);
  const takenMs = performance.now() - startedAt;
  await bed.cluster.startDaemon(owner.seat);
  return takenMs;
}

async function ownerOf(
  daemons: readonly RunningDaemon[],
): Promise<RunningDaemon> {
  const res = await fetch(`${daemons[0]!.callersUrl}/v1/addresses/${SERVICE}`);
  const {addresses} = (await res.json()) as AddressAnswer;
  return daemons.find(d => d.id === addresses[0]!.instance)!;
}

async function anyAnswers(daemons: readonly RunningDaemon[]): Promise<boolean> {
  const statuses = await Promise.all(
    daemons.map(async d => {
      const res = await fetch(`${d.callersUrl}/s/${SERVICE}/show/1`);
      await res.arrayBuffer();
      return res.status;
    }),
  );
  return statuses.some(status => status === 200);
}
