/** Measures how long a service is unavailable after a crash of its owner. */
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
import {plansOf} from './service_plans.js';

/** Required maximum duration of a takeover, milliseconds. */
const TAKEOVER_LIMIT_MS = 2_000;
/** Interval between requests until one is answered, milliseconds. */
const RETRY_INTERVAL_MS = 20;
/** Time that a replaced instance gets to rejoin the cell, milliseconds. */
const REJOIN_DELAY_MS = 2_000;
/** Minimum number of crashes, however short the run. */
const MIN_CRASHES = 3;
const SERVICE = 'ubuntu-steps/listings';

/** Repeatedly kills the owner and measures the time until another answers. */
export async function takeover(options: RunOptions): Promise<ScenarioResult> {
  const plans = plansOf(SERVICE);
  await using bed = await TestBed.start(plans, options, {
    daemons: 5,
    serviceMs: 1,
  });
  const until = performance.now() + options.seconds * 1000;
  const times: number[] = [];
  while (times.length < MIN_CRASHES || performance.now() < until) {
    times.push(await measureTakeover(bed));
    await delay(REJOIN_DELAY_MS);
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
        target: {atMost: TAKEOVER_LIMIT_MS},
      },
    ],
    violations: await bed.check([], {hadFaults: true}),
    observations: [],
    startedAt: 0,
  };
}

/** Kills the owner; resolves with the time until a request is served, ms. */
async function measureTakeover(bed: TestBed): Promise<number> {
  const {daemons} = bed.cluster;
  const owner = await ownerOf(daemons);
  const survivors = daemons.filter(d => d !== owner);
  await owner.process.kill();
  const startedAt = performance.now();
  while (!(await anyServes(survivors))) await delay(RETRY_INTERVAL_MS);
  const takeoverMs = performance.now() - startedAt;
  await bed.cluster.startDaemon(owner.seat);
  return takeoverMs;
}

async function ownerOf(
  daemons: readonly RunningDaemon[],
): Promise<RunningDaemon> {
  const res = await fetch(`${daemons[0]!.callersUrl}/v1/addresses/${SERVICE}`);
  const {addresses} = (await res.json()) as AddressAnswer;
  return daemons.find(d => d.id === addresses[0]!.instance)!;
}

async function anyServes(daemons: readonly RunningDaemon[]): Promise<boolean> {
  const statuses = await Promise.all(
    daemons.map(async d => {
      const res = await fetch(`${d.callersUrl}/s/${SERVICE}/show/1`);
      await res.arrayBuffer();
      return res.status;
    }),
  );
  return statuses.some(status => status === 200);
}
