/** Faults of servers' connections and of single requests. */
import {Rank} from '@ragworthall/contracts';
import {setTimeout as delay} from 'node:timers/promises';
import {isWithinTarget, type WorkKind} from '../caller/work.js';
import {summarize} from '../report/summary.js';
import {runLoad} from './load.js';
import {
  type RunOptions,
  ScenarioName,
  type ScenarioResult,
} from './scenario.js';
import {TestBed} from './test_bed.js';
import {capacityOf, plansOf, type ServicePlan, worksOf} from './world.js';

/** Load as a share of capacity. */
const LOAD = 0.4;
/** Part of a run before the fault, milliseconds. */
const CALM_MS = 2_000;
/** Time that detection may take before service is counted, milliseconds. */
const DETECTION_MS = 2_000;
/** Time until a crashed server is back, milliseconds. */
const RESTART_MS = 500;
/** Content that crashes servers. */
const CRASH_TEXT = 'crash-me';

/** Reads of listings, at a share of capacity, until the end. */
function readsOf(plan: ServicePlan, toMs: number) {
  const works = worksOf(plan).filter(w => w.idempotent);
  const perSecond = (LOAD * capacityOf(plan)) / works.length;
  return works.map(work => ({work, perSecond, fromMs: 0, toMs}));
}

/** All open connections to a third of the servers go silent for good. */
export async function silentConnections(
  options: RunOptions,
): Promise<ScenarioResult> {
  const [plan] = plansOf('ubuntu-steps/listings');
  await using bed = await TestBed.start([plan!], options);
  const endMs = CALM_MS + DETECTION_MS + options.seconds * 1000;
  const silence = async () => {
    const ids = [1, 2, 3, 4, 5].map(i => `${plan!.name}-${i}`);
    await Promise.all(
      ids.map(id =>
        bed.cluster.setServerFaults(id, [{kind: 'silent_connections'}]),
      ),
    );
  };
  const events = [{atMs: CALM_MS, name: 'silent', act: silence}];
  const loads = readsOf(plan!, endMs);
  const run = await runLoad(bed.callers, loads, events, bed.rng);
  const from = run.startedAt + CALM_MS + DETECTION_MS;
  const after = run.observations.filter(
    o => o.dueAt >= from && o.work.rank === Rank.Live,
  );
  return {
    scenario: ScenarioName.SilentConnections,
    options,
    ranks: summarize(run.observations),
    figures: [
      {
        name: 'rank 2: served within target after 2 s of silence',
        value: after.filter(isWithinTarget).length / after.length,
        unit: 'ratio',
        target: {atLeast: 0.99},
      },
    ],
    violations: await bed.check(run.observations, {hadFaults: true}),
    ...run,
  };
}

/** One request crashes each server that runs it, and its caller resends it. */
export async function crashingRequest(
  options: RunOptions,
): Promise<ScenarioResult> {
  const [plan] = plansOf('ubuntu-steps/reservations');
  await using bed = await TestBed.start([plan!], options);
  await Promise.all(
    bed.cluster.servers.map(s =>
      bed.cluster.setServerFaults(s.id, [
        {kind: 'crash_on_body', text: CRASH_TEXT, restartMs: RESTART_MS},
      ]),
    ),
  );
  const endMs = CALM_MS + options.seconds * 1000;
  const book = worksOf(plan!).find(w => !w.idempotent)!;
  const crash = () => sendCrashing(bed, book, endMs - CALM_MS);
  const events = [{atMs: CALM_MS, name: 'crashing request', act: crash}];
  const loads = readsOf(plan!, endMs);
  const run = await runLoad(bed.callers, loads, events, bed.rng);
  const ledgers = await bed.cluster.fetchLedgers();
  const crashes = [...ledgers.values()].reduce(
    (n, l) => n + crashesIn(l.runs),
    0,
  );
  const reads = run.observations.filter(o => o.work.idempotent);
  const quarantined = reads.filter(
    o =>
      o.ending.kind === 'refused' && o.ending.reason === 'content_quarantined',
  );
  return {
    scenario: ScenarioName.CrashingRequest,
    options,
    ranks: summarize(run.observations),
    figures: [
      {
        name: 'crashes in all',
        value: crashes,
        unit: 'count',
        target: {atMost: 3},
      },
      {
        name: 'innocent requests condemned',
        value: quarantined.length,
        unit: 'count',
        target: {atMost: 0},
      },
      {
        name: 'reads served within target',
        value: reads.filter(isWithinTarget).length / reads.length,
        unit: 'ratio',
        target: {atLeast: 0.97},
      },
    ],
    violations: await bed.check(run.observations, {hadFaults: true}),
    ...run,
  };
}

/** Time between two resends of the crashing request, milliseconds. */
const RESEND_MS = 300;

/** Sends the same content again and again, each time under a new key. */
async function sendCrashing(
  bed: TestBed,
  work: WorkKind,
  lengthMs: number,
): Promise<void> {
  const until = performance.now() + lengthMs;
  for (let i = 0; performance.now() < until; i += 1) {
    const caller = bed.callers[i % bed.callers.length]!;
    await caller.sendContent(work, CRASH_TEXT);
    await delay(RESEND_MS);
  }
}

function crashesIn(runs: Readonly<Record<string, {count: number}>>): number {
  return Object.entries(runs)
    .filter(([key]) => key.includes(CRASH_TEXT))
    .reduce((sum, [, {count}]) => sum + count, 0);
}
