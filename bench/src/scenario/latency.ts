/** Scenarios: latency that one daemon adds, and its throughput. */
import {createRequire} from 'node:module';
import {dirname, join} from 'node:path';
import {Agent, request} from 'undici';
import {runSchedule, poissonTimes} from '../caller/arrivals.js';
import {ManagedProcess} from '../launch/managed_process.js';
import {percentilesOf} from '../report/summary.js';
import {
  type Figure,
  type RunOptions,
  ScenarioName,
  type ScenarioResult,
} from './scenario.js';
import {TestBed} from './test_bed.js';
import {plansOf, type ServicePlan} from './service_plans.js';

/** Requests in flight while throughput is measured. */
const CLOSED_LOOP_REQUESTS = 64;
/** Time for the JIT compiler to optimize the code of a new process, seconds. */
const WARM_UP_S = 8;
/** Number of measurements of each path; the paths take turns. */
const REPEATS = 3;
/** Share of one instance's throughput at which latency is measured. */
const LOAD_SHARE = 0.5;

const require = createRequire(import.meta.url);
const PASS_THROUGH_SCRIPT = join(
  dirname(require.resolve('@ragworthall/bench')),
  'launch/pass_through.js',
);

/** A route to the backend servers: through a proxy or direct. */
interface RequestPath {
  readonly name: 'daemon' | 'pass_through' | 'direct';
  readonly urlOf: (count: number) => string;
}

/** Returns a plan for servers that answer at once, to measure only the path. */
function fastPlan(): ServicePlan {
  return {...plansOf('ubuntu-steps/listings')[0]!, slots: 64};
}

/** Measures requests over three paths to the same backend servers. */
class PathComparison implements AsyncDisposable {
  private readonly agent = new Agent({connections: 256, pipelining: 1});

  private constructor(
    private readonly bed: TestBed,
    private readonly passThrough: ManagedProcess,
    readonly paths: readonly RequestPath[],
  ) {}

  static async open(options: RunOptions): Promise<PathComparison> {
    const plan = fastPlan();
    const bed = await TestBed.start([plan], options, {
      daemons: 1,
      serviceMs: 0,
      serversPerProcess: 5,
    });
    const addresses = bed.cluster.servers.map(s => s.address);
    const passThrough = ManagedProcess.start(
      'pass-through',
      PASS_THROUGH_SCRIPT,
      addresses,
    );
    const passThroughUrl = await passThrough.waitUntilReady(
      line => line['url'] as string | undefined,
    );
    const daemon = `${bed.cluster.daemons[0]!.callersUrl}/s/ubuntu-steps/listings`;
    const urlPath = (count: number) => `/show/${count}`;
    return new PathComparison(bed, passThrough, [
      {name: 'daemon', urlOf: c => daemon + urlPath(c)},
      {name: 'pass_through', urlOf: c => passThroughUrl + urlPath(c)},
      {
        name: 'direct',
        urlOf: c => `http://${addresses[c % addresses.length]}${urlPath(c)}`,
      },
    ]);
  }

  /** Sends one request; resolves with its latency, milliseconds. */
  async measureRequest(path: RequestPath, count: number): Promise<number> {
    const startedAt = performance.now();
    const res = await request(path.urlOf(count), {
      dispatcher: this.agent,
      headers: {'idempotency-key': `n${count}`},
    });
    await res.body.text();
    if (res.statusCode !== 200) throw new Error(`status ${res.statusCode}`);
    return performance.now() - startedAt;
  }

  /** Returns the throughput of a closed loop, requests per second. */
  async throughput(path: RequestPath, seconds: number): Promise<number> {
    const until = performance.now() + seconds * 1000;
    let count = 0;
    const sendRepeatedly = async () => {
      while (performance.now() < until)
        await this.measureRequest(path, count++);
    };
    await Promise.all(
      Array.from({length: CLOSED_LOOP_REQUESTS}, sendRepeatedly),
    );
    return count / seconds;
  }

  /** Returns the latencies of open arrivals at a mean rate, milliseconds. */
  async latencies(
    path: RequestPath,
    perSecond: number,
    seconds: number,
  ): Promise<number[]> {
    const times: number[] = [];
    const pending: Promise<unknown>[] = [];
    const arrivals = poissonTimes(perSecond, seconds * 1000, this.bed.rng);
    let count = 0;
    await runSchedule(
      arrivals.map(at => ({at, item: undefined})),
      () => {
        const timing = this.measureRequest(path, count++);
        pending.push(timing.then(ms => times.push(ms)));
      },
    );
    await Promise.all(pending);
    return times;
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.agent.destroy();
    await this.passThrough[Symbol.asyncDispose]();
    await this.bed[Symbol.asyncDispose]();
  }
}

/** Compares the throughput of a daemon with that of a plain pass-through. */
export async function throughput(options: RunOptions): Promise<ScenarioResult> {
  await using comparison = await PathComparison.open(options);
  const [daemon, passThrough] = comparison.paths;
  const seconds = options.seconds / (2 * REPEATS);
  await comparison.throughput(daemon!, WARM_UP_S);
  await comparison.throughput(passThrough!, WARM_UP_S);
  const ratios: number[] = [];
  const rates: number[] = [];
  for (let i = 0; i < REPEATS; i += 1) {
    const viaDaemon = await comparison.throughput(daemon!, seconds);
    const reference = await comparison.throughput(passThrough!, seconds);
    ratios.push(viaDaemon / reference);
    rates.push(viaDaemon);
  }
  return resultOf(ScenarioName.Throughput, options, [
    {
      name: 'daemon / pass-through, median',
      value: medianOf(ratios),
      unit: 'ratio',
      target: {atLeast: 0.8},
    },
    {name: 'least of the repeats', value: Math.min(...ratios), unit: 'ratio'},
    {name: 'most of the repeats', value: Math.max(...ratios), unit: 'ratio'},
    {name: 'daemon', value: medianOf(rates), unit: 'per second'},
  ]);
}

/** Measures the latency that a daemon adds to a direct request. */
export async function addedLatency(
  options: RunOptions,
): Promise<ScenarioResult> {
  await using comparison = await PathComparison.open(options);
  const [daemon, , direct] = comparison.paths;
  const seconds = options.seconds / (2 * REPEATS + 1);
  await comparison.throughput(daemon!, WARM_UP_S);
  await comparison.throughput(direct!, WARM_UP_S / 2);
  const added: {p50: number; p99: number}[] = [];
  const rates: number[] = [];
  for (let i = 0; i < REPEATS; i += 1) {
    // Measured before each repeat, because the machine's speed varies in a run.
    const rate =
      LOAD_SHARE * (await comparison.throughput(daemon!, seconds / 2));
    rates.push(rate);
    const viaDaemon = await comparison.latencies(daemon!, rate, seconds);
    const reference = await comparison.latencies(direct!, rate, seconds);
    const [daemonP50, daemonP99] = percentilesOf(viaDaemon, 50, 99);
    const [directP50, directP99] = percentilesOf(reference, 50, 99);
    added.push({p50: daemonP50! - directP50!, p99: daemonP99! - directP99!});
  }
  const p50 = added.map(a => a.p50);
  const p99 = added.map(a => a.p99);
  return resultOf(ScenarioName.AddedLatency, options, [
    {name: 'load, median', value: medianOf(rates), unit: 'per second'},
    {
      name: 'added p50',
      value: medianOf(p50),
      unit: 'ms',
      target: {atMost: 0.25},
    },
    {
      name: 'added p99',
      value: medianOf(p99),
      unit: 'ms',
      target: {atMost: 0.58},
    },
    {name: 'added p99, least', value: Math.min(...p99), unit: 'ms'},
    {name: 'added p99, most', value: Math.max(...p99), unit: 'ms'},
  ]);
}

function medianOf(values: readonly number[]): number {
  return [...values].sort((a, b) => a - b)[Math.floor(values.length / 2)]!;
}

function resultOf(
  scenario: ScenarioName,
  options: RunOptions,
  figures: readonly Figure[],
): ScenarioResult {
  return {
    scenario,
    options,
    ranks: [],
    figures,
    violations: [],
    observations: [],
    startedAt: 0,
  };
}
