/**
 * Policies for choosing among the backend servers with a free slot. The default
 * policy minimizes the expected completion time; the others are baselines for
 * benchmarks.
 */
import type {BackendServer} from '../backend_server/backend_server.js';
import type {FailureDomains} from '../failure_domain/failure_domains.js';
import type {Random} from '../link/random.js';

/** A policy for choosing a backend server. */
export type DispatchPolicy =
  | {readonly kind: 'random'; readonly overcommit?: number}
  | {readonly kind: 'round_robin'; readonly overcommit?: number}
  | {readonly kind: 'least_in_flight'; readonly overcommit?: number}
  /** The less loaded of two servers drawn at random. */
  | {readonly kind: 'power_of_two'; readonly overcommit?: number}
  /** The earliest expected completion; may wait rather than use a straggler. */
  | {readonly kind: 'fastest_free'; readonly overcommit?: number};

/** The policy used unless another one is configured. */
export const DEFAULT_POLICY: DispatchPolicy = {kind: 'fastest_free'};

/** Facts about the call and the service that a choice depends on. */
export interface ChoiceContext {
  readonly now: number;
  /** Mean latency of the call's contract, milliseconds. */
  readonly meanMs: number;
  /**
   * Expected wait for a slot of a server that is not a straggler if neither
   * this call nor the other waiting calls use stragglers, milliseconds;
   * Infinity if every server is a straggler.
   */
  readonly waitForFastMs: number;
  /** Time until the call's deadline, milliseconds. */
  readonly timeLeftMs: number;
  /**
   * Whether the call may be used to check whether a straggler has recovered.
   */
  readonly mayTryStraggler: boolean;
}

/** Result of a choice. */
export type Choice =
  | {readonly kind: 'server'; readonly server: BackendServer}
  /**
   * A slot is free, but waiting for a faster server is expected to complete
   * sooner.
   */
  | {readonly kind: 'wait'}
  /** No eligible server has a free slot. */
  | {readonly kind: 'none'};

const WAIT: Choice = {kind: 'wait'};
const NONE: Choice = {kind: 'none'};

/** Chooses servers according to one policy. */
export class Dispatcher {
  private choices = 0;

  constructor(
    private readonly policy: DispatchPolicy,
    private readonly domains: FailureDomains,
    private readonly random: Random,
  ) {}

  /** Multiple of a server's slots that may be in use at the same time. */
  get overcommit(): number {
    return this.policy.overcommit ?? 1;
  }

  /** Chooses among the first `count` of `ready`, which all have a free slot. */
  choose(
    ready: readonly BackendServer[],
    count: number,
    ctx: ChoiceContext,
  ): Choice {
    if (count === 0) return NONE;
    const choice = this.decide(ready, count, ctx);
    if (choice.kind === 'server') choice.server.lastChoice = ++this.choices;
    return choice;
  }

  private decide(
    ready: readonly BackendServer[],
    count: number,
    ctx: ChoiceContext,
  ): Choice {
    switch (this.policy.kind) {
      case 'random':
        return chosen(ready[this.random.nextInt(count)]!);
      case 'round_robin':
        return chosen(minBy(ready, count, s => s.lastChoice));
      case 'least_in_flight':
        return chosen(minBy(ready, count, loadOf));
      case 'power_of_two':
        return chosen(this.betterOfTwo(ready, count));
      case 'fastest_free':
        return this.fastest(ready, count, ctx);
      default:
        throw new Error(`unexpected policy: ${this.policy satisfies never}`);
    }
  }

  private betterOfTwo(
    ready: readonly BackendServer[],
    count: number,
  ): BackendServer {
    const a = ready[this.random.nextInt(count)]!;
    const b = ready[this.random.nextInt(count)]!;
    return loadOf(b) < loadOf(a) ? b : a;
  }

  private fastest(
    ready: readonly BackendServer[],
    count: number,
    ctx: ChoiceContext,
  ): Choice {
    const trial = findTrial(ready, count, ctx);
    if (trial) return chosen(trial);
    const best = minBy(ready, count, s => this.expectedMs(s, ctx));
    if (!best.slowness.isStraggler) return chosen(best);
    if (ctx.waitForFastMs === Infinity) return chosen(best);
    // Waiting is considered only as an alternative to stragglers. The estimates
    // of the other servers differ by chance, and waiting would waste slots.
    const slowMs = this.expectedMs(best, ctx);
    const fastMs = ctx.waitForFastMs + ctx.meanMs;
    const isWorthwhile = slowMs < fastMs && slowMs < ctx.timeLeftMs;
    return isWorthwhile ? chosen(best) : WAIT;
  }

  /** Expected time until the server answers, milliseconds. */
  private expectedMs(server: BackendServer, ctx: ChoiceContext): number {
    const {now, meanMs} = ctx;
    const slowness = server.estimateSlowness(now, meanMs);
    const load = loadOf(server) + server.reportedLoadOfOthers(now);
    // Measured latency already includes the network round trip.
    const distanceMs = server.slowness.isKnown
      ? 0
      : this.domains.roundTripMs(server.cfg.failureDomain);
    return meanMs * slowness * (1 + LOAD_WEIGHT * load) + distanceMs;
  }
}

/**
 * Relative increase in the expected latency of a server with all slots in use.
 */
const LOAD_WEIGHT = 0.25;

function chosen(server: BackendServer): Choice {
  return {kind: 'server', server};
}

function loadOf(server: BackendServer): number {
  return server.inFlight / server.cfg.slots;
}

// A plain loop without allocations: this runs for each call, over up to 32
// servers.
function minBy(
  servers: readonly BackendServer[],
  count: number,
  cost: (server: BackendServer) => number,
): BackendServer {
  let best = servers[0]!;
  let bestCost = cost(best);
  for (let i = 1; i < count; i++) {
    const server = servers[i]!;
    const serverCost = cost(server);
    if (serverCost >= bestCost) continue;
    best = server;
    bestCost = serverCost;
  }
  return best;
}

// A straggler no longer gets calls, so its recovery would go unnoticed. A call
// is sent to it from time to time to measure its speed.
function findTrial(
  servers: readonly BackendServer[],
  count: number,
  ctx: ChoiceContext,
): BackendServer | undefined {
  for (let i = 0; i < count; i++) {
    const server = servers[i]!;
    if (server.slowness.isStraggler && !ctx.mayTryStraggler) continue;
    if (server.isLatencySampleDue(ctx.now)) return server;
  }
  return undefined;
}
