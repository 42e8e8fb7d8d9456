/** What a request costs on its way through one daemon. */
import {createRequire} from 'node:module';
import {dirname, join} from 'node:path';
import {Agent, request} from 'undici';
import {play, poissonTimes} from '../caller/arrivals.js';
import {ManagedProcess} from '../launch/managed_process.js';
import {percentilesOf} from '../report/summary.js';
import {
  type Figure,
  type RunOptions,
  ScenarioName,
  type ScenarioResult,
} from './scenario.js';
import {TestBed} from './test_bed.js';
import {plansOf, type ServicePlan} from './world.js';

/** Requests in flight of a closed loop that finds the throughput. */
const CLOSED_LOOP = 64;
/** Time until the code of a fresh process is compiled, seconds. */
const WARM_UP_S = 8;
/** Repeats of each side, interleaved. */
const REPEATS = 3;
/** Share of one instance's throughput at which latency is measured. */
const LOAD = 0.5;

const require = createRequire(import.meta.url);
const PASS_THROUGH = join(
  dirname(require.resolve('@ragworthall/bench')),
  'launch/pass_through.js',
);

/** One side of a comparison: where requests go. */
interface Side {
  readonly name: 'daemon' | 'pass_through' | 'direct';
  readonly urlOf: (count: number) => string;
}

/** Servers that answer at once, so that the way there is what is measured. */
function fastPlan(): ServicePlan {
  return {...plansOf('ubuntu-steps/listings')[0]!, slots: 64};
}

/** The three ways to the same backend servers. */
class Ways implements AsyncDisposable {
  private readonly agent = new Agent({connections: 256, pipelining: 1});

  private constructor(
    private readonly bed: TestBed,
    private readonly passThrough: ManagedProcess,
    readonly sides: readonly Side[],
  ) {}

  static async open(options: RunOptions): Promise<Ways> {
    const plan = fastPlan();
    const bed = await TestBed.start([plan], options, {
      daemons: 1,
      serviceMs: 0,
      serversPerProcess: 5,
    });
    const addresses = bed.cluster.servers.map(s => s.address);
    const bare = ManagedProcess.start('pass-through', PASS_THROUGH, addresses);
    const bareUrl = await bare.waitUntilReady(
      line => line['url'] as string | undefined,
    );
    const daemon = `${bed.cluster.daemons[0]!.callersUrl}/s/ubuntu-steps/listings`;
    const path = (count: number) => `/show/${count}`;
    return new Ways(bed, bare, [
      {name: 'daemon', urlOf: c => daemon + path(c)},
      {name: 'pass_through', urlOf: c => bareUrl + path(c)},
      {
        name: 'direct',
        urlOf: c => `http://${addresses[c % addresses.length]}${path(c)}`,
      },
    ]);
  }

  /** Sends one request; resolves with its time, milliseconds. */
  async time(side: Side, count: number): Promise<number> {
    const startedAt = performance.now();
    const res = await request(side.urlOf(count), {
      dispatcher: this.agent,
      headers: {'idempotency-key': `n${count}`},
    });
    await res.body.text();
    if (res.statusCode !== 200) throw new Error(`status ${res.statusCode}`);
    return performance.now() - startedAt;
  }

  /** Returns requests a second of a closed loop. */
  async throughput(side: Side, seconds: number): Promise<number> {
    const until = performance.now() + seconds * 1000;
    let count = 0;
    const loop = async () => {
      while (performance.now() < until) await this.time(side, count++);
    };
    await Promise.all(Array.from({length: CLOSED_LOOP}, loop));
    return count / seconds;
  }

  /** Returns times of requests that come at a rate, milliseconds. */
  async latencies(
    side: Side,
    perSecond: number,
    seconds: number,
  ): Promise<number[]> {
    const times: number[] = [];
    const pending: Promise<unknown>[] = [];
    const arrivals = poissonTimes(perSecond, seconds * 1000, this.bed.rng);
    let count = 0;
    await play(
      arrivals.map(at => ({at, what: undefined})),
      () => {
        const timing = this.time(side, count++);
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

/** Compares the throughput of a daemon with a bare pass-through's. */
export async function throughput(options: RunOptions): Promise<ScenarioResult> {
  await using ways = await Ways.open(options);
  const [daemon, bare] = ways.sides;
  const seconds = options.seconds / (2 * REPEATS);
  await ways.throughput(daemon!, WARM_UP_S);
  await ways.throughput(bare!, WARM_UP_S);
  const ratios: number[] = [];
  const rates: number[] = [];
  for (let i = 0; i < REPEATS; i += 1) {
    const through = await ways.throughput(daemon!, seconds);
    const base = await ways.throughput(bare!, seconds);
    ratios.push(through / base);
    rates.push(through);
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

/** Measures the time that a daemon adds to a direct call. */
export async function addedLatency(
  options: RunOptions,
): Promise<ScenarioResult> {
  await using ways = await Ways.open(options);
  const [daemon, , direct] = ways.sides;
  const seconds = options.seconds / (2 * REPEATS + 1);
  await ways.throughput(daemon!, WARM_UP_S);
  await ways.throughput(direct!, WARM_UP_S / 2);
  const added: {p50: number; p99: number}[] = [];
  const rates: number[] = [];
  for (let i = 0; i < REPEATS; i += 1) {
    // Measured anew each time: the machine's speed changes within a run.
    const rate = LOAD * (await ways.throughput(daemon!, seconds / 2));
    rates.push(rate);
    const through = await ways.latencies(daemon!, rate, seconds);
    const base = await ways.latencies(direct!, rate, seconds);
    const [t50, t99] = percentilesOf(through, 50, 99);
    const [b50, b99] = percentilesOf(base, 50, 99);
    added.push({p50: t50! - b50!, p99: t99! - b99!});
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
