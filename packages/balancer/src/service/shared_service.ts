/**
 * A service whose backend servers receive requests from all instances. Each
 * instance estimates their load on its own and chooses by expected cost.
 */
import type {Random} from '../link/random.js';
import type {Route, ServiceSettings} from '../route/route.js';
import type {SharedServer} from '../backend_server/shared_server.js';
import type {RepeatBudget} from './repeat_budget.js';
import {RouteDurations} from './route_durations.js';
import {
  type Candidate,
  ServerSnapshot,
  type ServerEstimate,
} from './server_snapshot.js';

/**
 * Maximum expected cost of a good server, which is used without asking others.
 */
const MAX_GOOD_COST = 1.35;
/** Maximum age of a report that counts as current, milliseconds. */
const CURRENT_REPORT_MS = 40;
/** Cost factor for servers in other failure domains. */
const DISTANCE_COST = 1.04;
/**
 * Cost factor for servers that need a new connection. It exceeds the distance
 * and tie-break factors combined, so that servers in use are asked first.
 */
const COLD_CONNECTION_COST = 1.08;
/**
 * Age of the last report from which the connection counts as closed,
 * milliseconds.
 */
const COLD_CONNECTION_MS = 8_000;
/**
 * Maximum random addition to the cost factor, so that equal servers share the
 * load.
 */
const TIE_BREAK_COST = 0.02;
/**
 * Maximum age at which the report of a server that is not good is still used,
 * milliseconds.
 */
const UNFAVOURABLE_REPORT_MS = 100;
/**
 * Maximum age at which such a report is still used if the server is expected to
 * remain full, milliseconds.
 */
const MAX_UNFAVOURABLE_REPORT_MS = 300;
/** Age of what is known from which a closed server with a limit is asked, milliseconds. */
const LIMIT_RECHECK_MS = 1_000;
/** Minimum time between two load queries to a server, milliseconds. */
const MIN_ASK_INTERVAL_MS = 30;
/** Fraction of the latency target within which an answer must be expected. */
const USABLE_TARGET_FRACTION = 0.88;
/** Number of running or queued requests below which a server counts as idle. */
const IDLE_LOAD = 1;
/** Maximum cost of a server for requests that can still meet their target. */
const MAX_ACCEPTABLE_COST = 5;
/** Duration of a request on a good server, as a multiple of the baseline. */
const GOOD_LATENCY_FACTOR = 1.2;
/** Shortest duration of a request, as a multiple of the baseline. */
const SHORTEST_LATENCY_FACTOR = 1;
/** Cost factor for suspect servers, which are used only as a last resort. */
const SUSPECT_COST = 1_000;

/** A request to be placed on a server. */
export interface PlacementRequest {
  readonly route: Route;
  /** Time of arrival on the monotonic clock, milliseconds. */
  readonly arrivedAt: number;
  /** Time at which the answer is no longer needed. */
  readonly endsAt: number;
  /** Ids of the servers that the request was sent to before. */
  readonly tried: ReadonlySet<string>;
}

/** Penalty factor up to which a server counts as sound. */
const MAX_SOUND_PENALTY = 1.1;

/** What to do with a request now. */
export type PlacementDecision =
  | {readonly kind: 'send'; readonly candidate: Candidate}
  /** Ask these servers for their load first. */
  | {readonly kind: 'ask'; readonly servers: readonly SharedServer[]}
  /** No suitable server is available now. */
  | {readonly kind: 'wait'};

/** Servers that a request may use if it can no longer meet its target. */
export const LateUse = {
  /** Those without work; the others are left to requests that are in time. */
  IdleServers: 'idle_servers',
  /** All that have a free slot. */
  FreeSlots: 'free_slots',
} as const;

/** One of the values of {@link LateUse}. */
export type LateUse = (typeof LateUse)[keyof typeof LateUse];

/** The backend servers of one service, as known to this instance. */
export class SharedService {
  /**
   * Whether the servers report their load; undefined while this is not known.
   */
  reportsLoad: boolean | undefined;
  private readonly byId = new Map<string, SharedServer>();
  private readonly durations = new RouteDurations();

  constructor(
    readonly name: string,
    private readonly failureDomain: string,
    private readonly random: Random,
    readonly budget: RepeatBudget,
    public settings: ServiceSettings | undefined,
  ) {}

  /** All servers, including those that are leaving. */
  get servers(): readonly SharedServer[] {
    return [...this.byId.values()];
  }

  /** Slots of all servers that accept work. */
  get slots(): number {
    return this.acceptingServers.reduce((sum, {slots}) => sum + slots, 0);
  }

  /** Adds or replaces a server. */
  put(server: SharedServer): void {
    this.byId.set(server.entry.id, server);
  }

  /** Removes a server. */
  remove(id: string): void {
    this.byId.delete(id);
  }

  /** Returns a snapshot of all servers that accept work. */
  snapshot(now: number): ServerSnapshot {
    const shortestMs = this.durations.shortestBaselineMs;
    const available = [...this.byId.values()].filter(server =>
      server.isOpen(now),
    );
    const common = commonPenalty(available, now);
    const estimate = (server: SharedServer) =>
      this.estimate(server, shortestMs, common, now);
    return new ServerSnapshot(available, estimate);
  }

  /** Decides where to send a request, or which servers to ask first. */
  place(
    request: PlacementRequest,
    now: number,
    snapshot = this.snapshot(now),
    lateUse: LateUse = LateUse.IdleServers,
  ): PlacementDecision {
    const best = snapshot.best(request.tried);
    if (!best) return WAIT;
    if (this.isGood(best, request, now)) return sendTo(best);
    const toAsk = snapshot.serversToAsk(request.tried);
    if (toAsk.length > 0) return {kind: 'ask', servers: toAsk};
    return this.placeWithoutGoodServer(
      request,
      snapshot.withKnownState(request.tried),
      now,
      lateUse,
    );
  }

  /**
   * Returns a server currently known to be good; undefined if there is none.
   */
  findGoodServer(
    request: PlacementRequest,
    now: number,
  ): Candidate | undefined {
    const best = this.snapshot(now).best(request.tried);
    return best && this.isGood(best, request, now) ? best : undefined;
  }

  /**
   * Whether a good server could still answer the request within its target, and
   * before its answer is no longer needed.
   */
  canMeetTarget(request: PlacementRequest, now: number): boolean {
    const {route, arrivedAt} = request;
    const doneAt = now + GOOD_LATENCY_FACTOR * this.baselineMs(route);
    return (
      doneAt <= arrivedAt + route.targetMs &&
      this.fits(request, GOOD_LATENCY_FACTOR, now)
    );
  }

  /**
   * Whether any server could still answer the request before its answer is no
   * longer needed. One that cannot be answered would take a slot for nothing.
   */
  canBeServed(request: PlacementRequest, now: number): boolean {
    return this.fits(request, SHORTEST_LATENCY_FACTOR, now);
  }

  /** Whether any server is known, also one that takes no requests. */
  get hasServers(): boolean {
    return this.byId.size > 0;
  }

  /** Servers that accept requests, also those that are closed for the moment. */
  get acceptingServers(): readonly SharedServer[] {
    return [...this.byId.values()].filter(server => server.acceptsRequests);
  }

  /** Servers that accept requests, all of them closed now; empty if one is open. */
  closedServers(now: number): readonly SharedServer[] {
    const accepting = this.acceptingServers;
    return accepting.some(server => server.isOpen(now)) ? [] : accepting;
  }

  /** Time until the first server opens, milliseconds; 0 if one is open. */
  untilOpenMs(now: number): number {
    const openings = this.closedServers(now).map(s =>
      s.backpressure.nextSendAt(now),
    );
    return openings.length > 0 ? Math.min(...openings) - now : 0;
  }

  /**
   * Servers that may have ended their limit: they get no request now that would
   * tell, so they are asked for their health instead.
   */
  limitsToRecheck(now: number): readonly SharedServer[] {
    return [...this.byId.values()].filter(
      server =>
        server.backpressure.isLimited &&
        server.acceptsRequests &&
        !server.isOpen(now) &&
        !server.isLoadQueryPending &&
        now - Math.max(server.reportedAt, server.loadQueriedAt) >
          LIMIT_RECHECK_MS,
    );
  }

  /** Measured duration of a route's requests, milliseconds; 0 if unknown. */
  usualMs(route: Route): number {
    return this.durations.expectedMs(route);
  }

  /** Latest time at which a request can be sent and still be answered. */
  latestSendAt({route, endsAt}: PlacementRequest): number {
    return endsAt - this.durations.expectedMs(route);
  }

  /** Records the time for which the caller of a new request waits. */
  recordArrival({route, arrivedAt, endsAt}: PlacementRequest): void {
    this.durations.recordPatience(route.name, endsAt - arrivedAt);
  }

  /** Records the duration of a successful request on a server with this expected cost. */
  recordDuration(route: string, ms: number, cost: number): void {
    // Durations on slow servers reflect the server rather than the request.
    if (cost > MAX_GOOD_COST && this.durations.isMeasured(route)) return;
    this.durations.recordDuration(route, ms / Math.max(1, cost));
  }

  /** Usual duration of a route's requests on an idle server, milliseconds. */
  baselineMs(route: Route): number {
    return this.durations.baselineMs(route);
  }

  /** Whether a server is good now, and fast enough for the request. */
  private isGood(
    {isCurrent, cost, latencyFactor}: ServerEstimate,
    request: PlacementRequest,
    now: number,
  ): boolean {
    if (!isCurrent || cost > MAX_GOOD_COST) return false;
    return this.fits(request, latencyFactor, now);
  }

  /**
   * Whether a request that takes this multiple of the measured baseline ends
   * before its answer is no longer needed; true while nothing was measured.
   */
  private fits(
    {route, endsAt}: PlacementRequest,
    latencyFactor: number,
    now: number,
  ): boolean {
    return now + latencyFactor * this.durations.expectedMs(route) <= endsAt;
  }

  /** Decides where to send a request if no server is good. */
  private placeWithoutGoodServer(
    request: PlacementRequest,
    known: readonly ServerEstimate[],
    now: number,
    lateUse: LateUse,
  ): PlacementDecision {
    const {route, arrivedAt} = request;
    const baselineMs = this.baselineMs(route);
    const targetAt = arrivedAt + route.targetMs * USABLE_TARGET_FRACTION;
    const freeSlotBy = (dueAt: number) =>
      known.find(
        ({server, cost, load, latencyFactor}) =>
          cost <= MAX_ACCEPTABLE_COST &&
          load < server.slots &&
          now + latencyFactor * baselineMs <= dueAt &&
          this.fits(request, latencyFactor, now),
      );
    const timely = freeSlotBy(targetAt);
    if (timely) return sendTo(timely);
    if (lateUse === LateUse.FreeSlots) {
      const free = freeSlotBy(Infinity);
      return free ? sendTo(free) : WAIT;
    }
    if (this.canMeetTarget(request, now)) return WAIT;
    // The target is out of reach: use only idle servers, the most expensive
    // first. The others are left to requests that can still meet their targets.
    // Otherwise an overload would end up making every request late.
    const late = known.findLast(
      ({load, latencyFactor}) =>
        load < IDLE_LOAD && this.fits(request, latencyFactor, now),
    );
    return late ? sendTo(late) : WAIT;
  }

  /** Estimates cost and load of a server. */
  private estimate(
    server: SharedServer,
    shortestMs: number,
    commonPenalty: number,
    now: number,
  ): ServerEstimate {
    const age = server.reportAge(now);
    const load = server.loadAt(now);
    const latencyFactor = server.expectedLatencyFactor(now, load);
    const cost =
      server.expectedCost(now, latencyFactor, commonPenalty) *
      this.loadIndependentFactor(server, now);
    const reportsNoLoad = this.reportsLoad === false;
    const fullMs = Math.min(
      MAX_UNFAVOURABLE_REPORT_MS,
      server.expectedSlotWaitFactor(load) * shortestMs,
    );
    const validMs =
      cost <= MAX_GOOD_COST
        ? CURRENT_REPORT_MS
        : Math.max(UNFAVOURABLE_REPORT_MS, fullMs);
    const isKnown = reportsNoLoad || age <= validMs;
    return {
      server,
      cost,
      load,
      latencyFactor,
      isCurrent: reportsNoLoad || age <= CURRENT_REPORT_MS,
      isKnown,
      mayAsk:
        !isKnown &&
        !server.isLoadQueryPending &&
        now - server.loadQueriedAt > MIN_ASK_INTERVAL_MS,
    };
  }

  /** Cost factors of a server that do not depend on its load. */
  private loadIndependentFactor(server: SharedServer, now: number): number {
    const near = server.entry.failureDomain === this.failureDomain;
    const tie = 1 + (TIE_BREAK_COST * this.random.nextInt(1_024)) / 1_024;
    const suspect = server.isSuspect(now) ? SUSPECT_COST : 1;
    const distance = near ? 1 : DISTANCE_COST;
    const cold =
      server.reportAge(now) > COLD_CONNECTION_MS ? COLD_CONNECTION_COST : 1;
    return distance * cold * tie * suspect;
  }
}

const WAIT: PlacementDecision = {kind: 'wait'};

function sendTo(candidate: Candidate): PlacementDecision {
  return {kind: 'send', candidate};
}

/**
 * Returns the median of the servers' penalties. Servers that fail alike are not
 * avoided: a service that sheds a part of its requests still serves the others.
 */
function commonPenalty(servers: readonly SharedServer[], now: number): number {
  const penalties = servers.map(server => server.penalty(now));
  const sound = penalties.filter(penalty => penalty <= MAX_SOUND_PENALTY);
  // The usual case is fast: most servers are sound.
  if (2 * sound.length >= penalties.length) return 1;
  penalties.sort((a, b) => a - b);
  return penalties[Math.floor(penalties.length / 2)]!;
}
