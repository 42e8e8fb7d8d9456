/**
 * How a service chooses among the backend servers with a free slot. The
 * default weighs expected completion; the plain policies are baselines for
 * measurements.
 */
import type {BackendServer} from '../backend_server/backend_server.js';
import type {FailureDomains} from '../failure_domain/failure_domains.js';
import type {Random} from '../link/random.js';

/** A way to choose a backend server. */
export type DispatchPolicy =
  | {readonly kind: 'random'; readonly overcommit?: number}
  | {readonly kind: 'round_robin'; readonly overcommit?: number}
  | {readonly kind: 'least_in_flight'; readonly overcommit?: number}
  /** The less loaded of two that are drawn at random. */
  | {readonly kind: 'power_of_two'; readonly overcommit?: number}
  /** The earliest expected completion; may prefer to wait, see below. */
  | {readonly kind: 'fastest_free'; readonly overcommit?: number};

/** The policy of services unless a measurement asks for another. */
export const DEFAULT_POLICY: DispatchPolicy = {kind: 'fastest_free'};

/** What a choice needs to know of the call and the service. */
export interface ChoiceContext {
  readonly now: number;
  /** Mean latency of the call's contract, milliseconds. */
  readonly meanMs: number;
  /**
   * Expected wait for a slot of a server of common speed if the call, and all
   * that wait with it, leave the stragglers alone, milliseconds; Infinity if
   * every server is a straggler.
   */
  readonly waitForFastMs: number;
  /** Time until the call's deadline, milliseconds. */
  readonly timeLeftMs: number;
  /** Whether the call may be used to see if a straggler has recovered. */
  readonly mayTryStraggler: boolean;
}

/** What a policy chose. */
export type Choice =
  | {readonly kind: 'server'; readonly server: BackendServer}
  /** A slot is free, but waiting for a faster server is expected to end earlier. */
  | {readonly kind: 'wait'}
  /** No server that may get the call has a free slot. */
  | {readonly kind: 'none'};

const WAIT: Choice = {kind: 'wait'};
const NONE: Choice = {kind: 'none'};

/** Chooses servers by one policy. */
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
    // Waiting is weighed against stragglers only: among servers of common
    // speed the estimates differ by chance, and waiting would waste slots.
    const slowMs = this.expectedMs(best, ctx);
    const fastMs = ctx.waitForFastMs + ctx.meanMs;
    const isWorthwhile = slowMs < fastMs && slowMs < ctx.timeLeftMs;
    return isWorthwhile ? chosen(best) : WAIT;
  }

  /** Expected time until a server's answer, milliseconds. */
  private expectedMs(server: BackendServer, ctx: ChoiceContext): number {
    const {now, meanMs} = ctx;
    const slowness = server.estimateSlowness(now, meanMs);
    const load = loadOf(server) + server.reportedLoadOfOthers(now);
    // Measured latency includes the way there; before that, distance counts.
    const distanceMs = server.slowness.isKnown
      ? 0
      : this.domains.roundTripMs(server.cfg.failureDomain);
    return meanMs * slowness * (1 + LOAD_WEIGHT * load) + distanceMs;
  }
}

/** Share by which a server with all slots in use is expected to be slower. */
const LOAD_WEIGHT = 0.25;

function chosen(server: BackendServer): Choice {
  return {kind: 'server', server};
}

function loadOf(server: BackendServer): number {
  return server.inFlight / server.cfg.slots;
}

// A plain loop: it runs for each call, over up to 32 servers, and allocates
// nothing.
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

// A server that was found slow is no longer chosen, so that nothing would tell
// when it is fast again: now and then a call goes there for that.
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
