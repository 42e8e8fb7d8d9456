/**
 * Compares the dispatch policies in simulated time, on the largest service of
 * each member, with one straggler and one server that fails fast. Prints the
 * latency of each policy, and that of a queue without the two faulty servers.
 * Run: `node bench/dist/policy_comparison.js`.
 */
import {
  type Attempt,
  type BackendLink,
  type Call,
  CallRunner,
  type DispatchPolicy,
  type ProbeResult,
  SeededRandom,
  Service,
} from '@ragworthall/balancer';
import {
  Rank,
  RANKS,
  type ServiceConfig,
  ServerState,
  serviceSchema,
} from '@ragworthall/contracts';
import {FakeTime} from '@ragworthall/balancer/dist/testing/fake_time.js';

/** A service of one of the members. */
interface ExampleService {
  readonly name: string;
  readonly servers: number;
  readonly slots: number;
  /** Mean service time, milliseconds. */
  readonly meanServiceMs: number;
}

const EXAMPLES: readonly ExampleService[] = [
  {name: 'listings', servers: 15, slots: 3, meanServiceMs: 20},
  {name: 'playlists', servers: 10, slots: 2, meanServiceMs: 20},
];

/** Offered load as a share of the capacity of the healthy servers. */
const LOAD_SHARE = 0.8;
const STRAGGLER_FACTOR = 10;
/** Simulated duration of a run, including the warm-up, milliseconds. */
const RUN_MS = 20_000;
const WARM_UP_MS = 3_000;
const DEADLINE_MS = 5_000;
const DRAW_RANGE = 65_536;
const SEED = 11;

/** A server with slots, a queue of the same length, and possibly a fault. */
class SimulatedServer {
  private slotsInUse = 0;
  private readonly queue: (() => void)[] = [];

  constructor(
    private readonly time: FakeTime,
    private readonly slots: number,
    private readonly fault: 'none' | 'slow' | 'failing',
  ) {}

  async run(serviceMs: number): Promise<Attempt> {
    if (this.fault === 'failing') {
      await this.sleep(1);
      return this.answer(500);
    }
    if (this.slotsInUse >= this.slots) {
      if (this.queue.length >= this.slots) {
        return {kind: 'shed', load: {inFlight: this.inFlight}};
      }
      await new Promise<void>(resolve => this.queue.push(resolve));
    } else {
      this.slotsInUse += 1;
    }
    const factor = this.fault === 'slow' ? STRAGGLER_FACTOR : 1;
    await this.sleep(serviceMs * factor);
    const next = this.queue.shift();
    if (next) next();
    else this.slotsInUse -= 1;
    return this.answer(200);
  }

  private get inFlight(): number {
    return this.slotsInUse + this.queue.length;
  }

  private answer(status: number): Attempt {
    return {
      kind: 'answered',
      answer: {status, headers: [], body: new Uint8Array()},
      load: {inFlight: this.inFlight, state: ServerState.Serving},
    };
  }

  private sleep(ms: number): Promise<void> {
    return new Promise(resolve => this.time.set(ms, resolve));
  }
}

/** Backend servers in simulated time, by address. */
class SimulatedLink implements BackendLink {
  private readonly random = new SeededRandom(SEED);

  constructor(
    private readonly servers: ReadonlyMap<string, SimulatedServer>,
    private readonly meanServiceMs: number,
  ) {}

  send(address: string): Promise<Attempt> {
    const uniform = (this.random.nextInt(DRAW_RANGE) + 1) / DRAW_RANGE;
    return this.servers
      .get(address)!
      .run(-this.meanServiceMs * Math.log(uniform));
  }

  async probe(): Promise<ProbeResult> {
    return {kind: 'failed', detail: 'probes are not simulated'};
  }
}

function configOf(example: ExampleService, skipped: number): ServiceConfig {
  return serviceSchema.parse({
    member: 'members',
    name: example.name,
    backendServers: Array.from({length: example.servers}, (_, i) => ({
      id: `s${i}`,
      address: `127.0.0.1:${1 + i}`,
      failureDomain: 'a',
      slots: example.slots,
    })).slice(skipped),
    contracts: RANKS.map(rank => ({
      name: `rank-${rank}`,
      method: 'GET',
      path: `/${rank}`,
      rank,
      idempotent: rank !== Rank.Urgent,
      deadlineMs: DEADLINE_MS,
      targetMs: DEADLINE_MS,
    })),
    floors: {urgent: 0, live: 0.2, bulk: 0.05},
  });
}

interface PolicyResult {
  readonly latencies: ReadonlyMap<Rank, number[]>;
  readonly errors: number;
}

/** Runs a policy without the first `skipped` servers; faulty ones are first. */
async function run(
  example: ExampleService,
  policy: DispatchPolicy,
  skipped: number,
): Promise<PolicyResult> {
  const time = new FakeTime();
  const cfg = configOf(example, skipped);
  const service = new Service(cfg, {
    clock: time,
    timers: time,
    policy,
    random: new SeededRandom(SEED),
  });
  const servers = new Map(
    cfg.backendServers.map(({id, address, slots}) => {
      const fault = id === 's0' ? 'slow' : id === 's1' ? 'failing' : 'none';
      return [address, new SimulatedServer(time, slots, fault)] as const;
    }),
  );
  const link = new SimulatedLink(servers, example.meanServiceMs);
  const log = {dispatched: () => undefined, ended: () => undefined};
  const runner = new CallRunner(link, log, time, time);
  return offerLoad(example, cfg, time, call =>
    runner.run(service, call, new AbortController().signal),
  );
}

async function offerLoad(
  example: ExampleService,
  cfg: ServiceConfig,
  time: FakeTime,
  send: (call: Call) => ReturnType<CallRunner['run']>,
): Promise<PolicyResult> {
  const random = new SeededRandom(SEED + 1);
  const latencies = new Map(RANKS.map(rank => [rank, [] as number[]]));
  let errors = 0;
  const healthyServers = example.servers - 2;
  const meanGapMs =
    example.meanServiceMs / (healthyServers * example.slots * LOAD_SHARE);
  for (let n = 0; time.now() < RUN_MS; n++) {
    const uniform = (random.nextInt(DRAW_RANGE) + 1) / DRAW_RANGE;
    await time.advance(-meanGapMs * Math.log(uniform));
    const start = time.now();
    const rank = RANKS[random.nextInt(RANKS.length)]!;
    const call: Call = {
      id: `${n}`,
      serviceId: 'members/example',
      contract: cfg.contracts[rank - 1]!,
      rank,
      method: 'GET',
      path: '/',
      headers: [],
      body: new Uint8Array(),
      deadline: start + DEADLINE_MS,
      retriesLeft: 2,
      depth: 0,
      fingerprint: `${n}`,
    };
    void send(call).then(result => {
      if (start < WARM_UP_MS) return;
      const ok = result.kind === 'answered' && result.answer.status < 500;
      if (ok) latencies.get(rank)!.push(time.now() - start);
      else errors += 1;
    });
  }
  await time.advance(DEADLINE_MS);
  return {latencies, errors};
}

function quantile(values: readonly number[], q: number): number {
  const sorted = values.toSorted((a, b) => a - b);
  return sorted[Math.floor(q * (sorted.length - 1))] ?? NaN;
}

function printResult(name: string, {latencies, errors}: PolicyResult): void {
  const figures = RANKS.map(rank => {
    const values = latencies.get(rank)!;
    const p50 = quantile(values, 0.5).toFixed(1).padStart(7);
    const p99 = quantile(values, 0.99).toFixed(1).padStart(8);
    return `${p50}${p99}`;
  });
  const count = [...latencies.values()].flat().length;
  process.stdout.write(
    `${name.padEnd(26)}${figures.join('  ')}${String(errors).padStart(8)}${String(count).padStart(8)}\n`,
  );
}

const POLICIES: readonly DispatchPolicy[] = [
  {kind: 'random', overcommit: 2},
  {kind: 'round_robin', overcommit: 2},
  {kind: 'least_in_flight', overcommit: 2},
  {kind: 'power_of_two', overcommit: 2},
  {kind: 'random'},
  {kind: 'least_in_flight'},
  {kind: 'fastest_free'},
];

/** Faulty servers, which the queue with perfect knowledge does not use. */
const FAULTY_SERVERS = 2;

for (const example of EXAMPLES) {
  process.stdout.write(
    `\n${example.name}: p50 and p99 of ranks 1 to 3 in ms, errors, answers\n`,
  );
  for (const policy of POLICIES) {
    const suffix = policy.overcommit ? ', waits at server' : '';
    printResult(policy.kind + suffix, await run(example, policy, 0));
  }
  const ideal = await run(example, {kind: 'fastest_free'}, FAULTY_SERVERS);
  printResult('perfect knowledge', ideal);
}
