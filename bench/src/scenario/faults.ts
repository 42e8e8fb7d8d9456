/** Scenarios: silent connections, and a request that crashes servers. */
import {Rank} from '@ragworthall/contracts';
import {setTimeout as delay} from 'node:timers/promises';
import {isWithinTarget, type RequestKind} from '../caller/observation.js';
import {summarize} from '../report/summary.js';
import {runLoad} from './load.js';
import {
  type RunOptions,
  ScenarioName,
  type ScenarioResult,
} from './scenario.js';
import {TestBed} from './test_bed.js';
import {
  capacityOf,
  plansOf,
  type ServicePlan,
  requestKindsOf,
} from './service_plans.js';

/** Load as a share of capacity. */
const LOAD_SHARE = 0.4;
/** Length of the part of a run before the fault, milliseconds. */
const BASELINE_MS = 2_000;
/**
 * Time allowed for detecting the fault, milliseconds; requests that are due
 * earlier are not counted.
 */
const DETECTION_LIMIT_MS = 2_000;
/** Time until a crashed server runs again, milliseconds. */
const RESTART_MS = 500;
/** Text in a request body that crashes the backend server. */
const CRASH_TEXT = 'crash-me';

/** Returns a load of the idempotent requests of a plan, until `toMs`. */
function readLoadsOf(plan: ServicePlan, toMs: number) {
  const readKinds = requestKindsOf(plan).filter(w => w.idempotent);
  const perSecond = (LOAD_SHARE * capacityOf(plan)) / readKinds.length;
  return readKinds.map(work => ({work, perSecond, fromMs: 0, toMs}));
}

/** All open connections to a third of the servers go silent and stay so. */
export async function silentConnections(
  options: RunOptions,
): Promise<ScenarioResult> {
  const [plan] = plansOf('ubuntu-steps/listings');
  await using bed = await TestBed.start([plan!], options);
  const endMs = BASELINE_MS + DETECTION_LIMIT_MS + options.seconds * 1000;
  const silence = async () => {
    const ids = [1, 2, 3, 4, 5].map(i => `${plan!.name}-${i}`);
    await Promise.all(
      ids.map(id =>
        bed.cluster.setServerFaults(id, [{kind: 'silent_connections'}]),
      ),
    );
  };
  const events = [{atMs: BASELINE_MS, name: 'silent', act: silence}];
  const loads = readLoadsOf(plan!, endMs);
  const run = await runLoad(bed.callers, loads, events, bed.rng);
  const countedFrom = run.startedAt + BASELINE_MS + DETECTION_LIMIT_MS;
  const afterDetection = run.observations.filter(
    o => o.dueAt >= countedFrom && o.work.rank === Rank.Live,
  );
  return {
    scenario: ScenarioName.SilentConnections,
    options,
    ranks: summarize(run.observations),
    figures: [
      {
        name: 'rank 2: served within target after 2 s of silence',
        value:
          afterDetection.filter(isWithinTarget).length / afterDetection.length,
        unit: 'ratio',
        target: {atLeast: 0.99},
      },
    ],
    violations: await bed.check(run.observations, {hadFaults: true}),
    ...run,
  };
}

/**
 * A request crashes each server that runs it, and its caller keeps resending
 * it.
 */
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
  const endMs = BASELINE_MS + options.seconds * 1000;
  const bookRequest = requestKindsOf(plan!).find(w => !w.idempotent)!;
  const resendUntilEnd = () =>
    sendCrashing(bed, bookRequest, endMs - BASELINE_MS);
  const events = [
    {atMs: BASELINE_MS, name: 'crashing request', act: resendUntilEnd},
  ];
  const loads = readLoadsOf(plan!, endMs);
  const run = await runLoad(bed.callers, loads, events, bed.rng);
  const ledgers = await bed.cluster.fetchLedgers();
  const crashes = [...ledgers.values()].reduce(
    (n, l) => n + crashingRunsIn(l.runs),
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
        name: 'other requests quarantined',
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

/** Interval between resends of the crashing request, milliseconds. */
const RESEND_INTERVAL_MS = 300;

/** Sends the same content repeatedly, each time with a new idempotency key. */
async function sendCrashing(
  bed: TestBed,
  work: RequestKind,
  lengthMs: number,
): Promise<void> {
  const until = performance.now() + lengthMs;
  for (let i = 0; performance.now() < until; i += 1) {
    const caller = bed.callers[i % bed.callers.length]!;
    await caller.sendContent(work, CRASH_TEXT);
    await delay(RESEND_INTERVAL_MS);
  }
}

/** Counts the runs of the crashing request in a ledger; each is a crash. */
function crashingRunsIn(
  runs: Readonly<Record<string, {count: number}>>,
): number {
  return Object.entries(runs)
    .filter(([key]) => key.includes(CRASH_TEXT))
    .reduce((sum, [, {count}]) => sum + count, 0);
}
