/**
 * Prints the mean time of a scheduling decision, for numbers of backend servers
 * and of waiting calls up to 10,000 each.
 * Run: `node bench/dist/decision_cost.js`.
 */
import {type Call, SeededRandom, Service} from '@ragworthall/balancer';
import {Rank, type ServiceConfig, serviceSchema} from '@ragworthall/contracts';

const SERVER_COUNTS = [40, 100, 1_000, 10_000] as const;
const QUEUE_LENGTHS = [0, 100, 1_000, 10_000] as const;
/** Slots of each backend server. */
const SLOTS = 3;
/** Rounds that are timed. */
const TIMED_ROUNDS = 20_000;
/** Rounds before that, for the JIT compiler to optimize the code. */
const WARM_UP_ROUNDS = 5_000;
/** Time between two rounds by the simulated clock, milliseconds. */
const ROUND_INTERVAL_MS = 0.01;
const US_PER_MS = 1_000;

const NO_EXCLUSIONS: ReadonlySet<string> = new Set();

function configOf(servers: number): ServiceConfig {
  return serviceSchema.parse({
    member: 'altamar',
    name: 'grids',
    backendServers: Array.from({length: servers}, (_, i) => ({
      id: `s${i}`,
      address: `127.0.0.1:${1 + i}`,
      failureDomain: `d${i % 3}`,
      slots: SLOTS,
    })),
    contracts: [
      {
        name: 'fetch',
        method: 'GET',
        path: '/*',
        rank: Rank.Live,
        idempotent: true,
        deadlineMs: 600_000,
        targetMs: 600_000,
      },
    ],
  });
}

/** Measures the time to end one call and to place another. */
class DecisionCost {
  private now = 0;
  private calls = 0;
  private readonly cfg: ServiceConfig;
  private readonly service: Service;
  private readonly running: (() => void)[] = [];
  private readonly random = new SeededRandom(1);

  constructor(servers: number) {
    this.cfg = configOf(servers);
    this.service = new Service(this.cfg, {
      clock: {now: () => this.now},
      // Timers never fire, as simulated time does not pass by itself.
      timers: {set: () => ({[Symbol.dispose]: () => undefined})},
      random: new SeededRandom(2),
      failureDomain: 'd0',
    });
  }

  /** Fills the slots, and the queue with `waiting` calls. */
  async fill(waiting: number): Promise<void> {
    const slots = this.cfg.backendServers.length * SLOTS;
    // Calls wait only if all slots are taken: without a queue a tenth is free.
    const calls = waiting > 0 ? slots + waiting : Math.floor(slots * 0.9);
    Array.from({length: calls}).forEach(() => this.placeCall());
    await new Promise(resolve => setImmediate(resolve));
  }

  /** Returns the mean time of a decision, microseconds. */
  async measure(): Promise<number> {
    await this.repeat(WARM_UP_ROUNDS);
    const start = performance.now();
    await this.repeat(TIMED_ROUNDS);
    return ((performance.now() - start) / (2 * TIMED_ROUNDS)) * US_PER_MS;
  }

  // Each round makes two decisions: which call gets the slot that was freed,
  // and which server gets the new call.
  private async repeat(rounds: number): Promise<void> {
    for (let i = 0; i < rounds; i++) {
      this.now += ROUND_INTERVAL_MS;
      this.endCall();
      this.placeCall();
      await undefined;
    }
  }

  private endCall(): void {
    if (this.running.length === 0) return;
    const index = this.random.nextInt(Math.min(this.running.length, 65_536));
    const release = this.running[index]!;
    this.running[index] = this.running.at(-1)!;
    this.running.pop();
    release();
  }

  private placeCall(): void {
    const call = this.nextCall();
    // Each call has its own signal, as in the daemon.
    const {signal} = new AbortController();
    const placed = this.service.place(call, NO_EXCLUSIONS, this.now, signal);
    void Promise.resolve(placed).then(placement => {
      if (placement.kind === 'refused') throw new Error(placement.reason);
      const {server, slot} = placement;
      this.running.push(() => this.service.release(server, slot, this.now));
    });
  }

  private nextCall(): Call {
    this.calls += 1;
    return {
      id: `${this.calls}`,
      serviceId: 'altamar/grids',
      contract: this.cfg.contracts[0]!,
      rank: Rank.Live,
      method: 'GET',
      path: '/',
      headers: [],
      body: new Uint8Array(),
      deadline: this.now + 500_000 + this.random.nextInt(65_536),
      retriesLeft: 0,
      depth: 0,
      fingerprint: `${this.calls % 1_000}`,
    };
  }
}

process.stdout.write('servers  waiting  us/decision\n');
for (const servers of SERVER_COUNTS) {
  for (const waiting of QUEUE_LENGTHS) {
    const cost = new DecisionCost(servers);
    // The queue of a rank holds 10,000 calls; leave a place for the next one.
    await cost.fill(Math.min(waiting, 9_999));
    const us = await cost.measure();
    process.stdout.write(
      `${String(servers).padStart(7)}${String(waiting).padStart(9)}${us.toFixed(2).padStart(13)}\n`,
    );
  }
}
