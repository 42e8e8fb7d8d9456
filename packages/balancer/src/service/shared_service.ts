/** A service whose backend servers all instances send to. */
import type {Random} from '../link/random.js';
import type {Route, ServiceSettings} from '../route/route.js';
import {
  type ServerEntry,
  SharedServer,
} from '../backend_server/shared_server.js';
import {RepeatBudget, type RepeatBudgetLimits} from './repeat_budget.js';
import {
  type Candidate,
  ServerSnapshot,
  type ServerEstimate,
} from './server_snapshot.js';

/** Expected cost up to which a server is taken without looking further. */
const MAX_GOOD_COST = 1.35;
/** Age up to which a report counts as current, milliseconds. */
const CURRENT_REPORT_MS = 40;
/** Factor on the cost of servers in other failure domains. */
const DISTANCE_COST = 1.04;
/**
 * Factor on the cost of servers to which a new connection would be opened:
 * more than distance and chance together, so that those in use are asked first.
 */
const COLD_CONNECTION_COST = 1.08;
/** Age of a report from which the connection counts as closed, milliseconds. */
const COLD_CONNECTION_MS = 8_000;
/** Size of the random part of a comparison, so that equal servers take turns. */
const TIE_BREAK_COST = 0.02;
/** Age up to which a report that spoke against a server counts, milliseconds. */
const UNFAVOURABLE_REPORT_MS = 100;
/** The same for a server that is known to be full for longer, milliseconds. */
const MAX_UNFAVOURABLE_REPORT_MS = 300;
/** Pause before a server is asked again, milliseconds. */
const ASK_AGAIN_MS = 30;
/** Part of a target by which an answer is expected to make it. */
const TARGET_MARGIN = 0.88;
/** Load below which a server counts as idle. */
const IDLE_LOAD = 1;
/** Cost above which a server gets only requests that are late anyway. */
const MAX_ACCEPTABLE_COST = 5;
/** Usual times within which a good server answers. */
const GOOD_SLOWDOWN = 1.2;
/** Requests in time whose waiting shows that there is no room for late ones. */
const MIN_TIMELY_WAITING = 1;
/** Usual time as a part of the target, while it is not known. */
const ASSUMED_BASELINE_SHARE = 0.35;
/** Weight of the newest sample in the usual time. */
const SAMPLE_WEIGHT = 0.1;
/** Cost of a suspect server: any other goes first. */
const SUSPECT_COST = 1_000;

/** A request that looks for a server. */
export interface PlacementRequest {
  readonly route: Route;
  /** Time of arrival on the monotonic clock, milliseconds. */
  readonly arrivedAt: number;
  /** Time at which nobody waits for the answer any more. */
  readonly endsAt: number;
  /** Servers that it was sent to before. */
  readonly tried: ReadonlySet<string>;
}

/** What a seeker may do now. */
export type PlacementDecision =
  | {readonly kind: 'send'; readonly candidate: Candidate}
  /** Ask these servers for their load first. */
  | {readonly kind: 'ask'; readonly servers: readonly SharedServer[]}
  /** No server serves it well now. */
  | {readonly kind: 'wait'};

/** Backend servers of one service, as this instance knows them. */
export class SharedService {
  readonly budget: RepeatBudget;
  /** Whether its servers report their load. */
  reportsLoad: boolean | undefined;
  private readonly byId = new Map<string, SharedServer>();
  /** Usual time of a request on an idle server, by route, milliseconds. */
  private readonly baselines = new Map<string, number>();

  constructor(
    readonly name: string,
    private readonly failureDomain: string,
    private readonly random: Random,
    budget: RepeatBudgetLimits,
    public terms: ServiceSettings | undefined,
  ) {
    this.budget = new RepeatBudget(budget);
  }

  /** All its servers, those that leave too. */
  get servers(): readonly SharedServer[] {
    return [...this.byId.values()];
  }

  /** Adds or replaces a server. */
  put(server: SharedServer): void {
    this.byId.set(server.entry.id, server);
  }

  /** Takes a server out. */
  remove(id: string): void {
    this.byId.delete(id);
  }

  /** Looks at all servers that take work. */
  snapshot(now: number): ServerSnapshot {
    const shortestMs = this.shortestBaselineMs;
    const look = (server: SharedServer) =>
      this.estimate(server, shortestMs, now);
    const taking = [...this.byId.values()].filter(
      server => server.acceptsRequests,
    );
    return new ServerSnapshot(taking, look);
  }

  /** Decides where a request goes, or what has to be known for that. */
  place(
    seeker: PlacementRequest,
    now: number,
    survey = this.snapshot(now),
  ): PlacementDecision {
    const best = survey.best(seeker.tried);
    if (!best) return WAIT;
    if (best.isCurrent && best.cost <= MAX_GOOD_COST) return sendTo(best);
    const ask = survey.serversToAsk(seeker.tried);
    if (ask.length > 0) return {kind: 'ask', servers: ask};
    return this.placeWithoutGoodServer(
      seeker,
      survey.withKnownState(seeker.tried),
      now,
    );
  }

  /** Returns a server that is known to be good; undefined if none is. */
  findGoodServer(seeker: PlacementRequest, now: number): Candidate | undefined {
    const best = this.snapshot(now).best(seeker.tried);
    return best?.isCurrent && best.cost <= MAX_GOOD_COST ? best : undefined;
  }

  /** Whether a good server would still answer a request within its target. */
  canMeetTarget(seeker: PlacementRequest, now: number): boolean {
    const {route, arrivedAt} = seeker;
    const doneAt = now + GOOD_SLOWDOWN * this.baselineMs(route);
    return doneAt <= arrivedAt + route.targetMs;
  }

  /**
   * Whether a request that waits should be told to come back rather than wait
   * on: it is late in any case, and `inTime` others wait that are not. One that
   * was sent before could not be told that it has not run.
   */
  shouldShed(seeker: PlacementRequest, inTime: number, now: number): boolean {
    if (seeker.tried.size > 0) return false;
    return inTime >= MIN_TIMELY_WAITING && !this.canMeetTarget(seeker, now);
  }

  /** Takes in how long a request took at a server of this expected cost. */
  recordDuration(route: string, ms: number, cost: number): void {
    // Slower servers say more about themselves than about the request.
    if (cost > MAX_GOOD_COST && this.baselines.has(route)) return;
    const sample = ms / Math.max(1, cost);
    const known = this.baselines.get(route);
    const usual =
      known === undefined ? sample : known + SAMPLE_WEIGHT * (sample - known);
    this.baselines.set(route, usual);
  }

  /** Chooses among servers none of which is good. */
  private placeWithoutGoodServer(
    seeker: PlacementRequest,
    known: readonly ServerEstimate[],
    now: number,
  ): PlacementDecision {
    const {route, arrivedAt, endsAt} = seeker;
    const usualMs = this.baselineMs(route);
    const dueAt = arrivedAt + route.targetMs * TARGET_MARGIN;
    const timely = known.find(
      ({server, cost, load, slowdown: times}) =>
        cost <= MAX_ACCEPTABLE_COST &&
        load < server.slots &&
        now + times * usualMs <= dueAt,
    );
    if (timely) return sendTo(timely);
    if (this.canMeetTarget(seeker, now)) return WAIT;
    // Late in any case: only idle servers, the slowest first. All else is left
    // to requests that can make their targets, or an overload would end with
    // every request late.
    const late = known.findLast(
      ({load, slowdown: times}) =>
        load < IDLE_LOAD && now + times * usualMs <= endsAt,
    );
    return late ? sendTo(late) : WAIT;
  }

  /** What is known of one server now. */
  private estimate(
    server: SharedServer,
    shortestMs: number,
    now: number,
  ): ServerEstimate {
    const age = server.reportAge(now);
    const load = server.loadAt(now);
    const times = server.expectedLatencyFactor(now, load);
    const cost =
      server.expectedCost(now, times) * this.loadIndependentFactor(server, now);
    const isSilent = this.reportsLoad === false;
    const fullMs = Math.min(
      MAX_UNFAVOURABLE_REPORT_MS,
      server.expectedSlotWaitFactor(load) * shortestMs,
    );
    const validMs =
      cost <= MAX_GOOD_COST
        ? CURRENT_REPORT_MS
        : Math.max(UNFAVOURABLE_REPORT_MS, fullMs);
    const isKnown = isSilent || age <= validMs;
    return {
      server,
      cost,
      load,
      slowdown: times,
      isCurrent: isSilent || age <= CURRENT_REPORT_MS,
      isKnown,
      mayAsk:
        !isKnown &&
        !server.isLoadQueryPending &&
        now - server.loadQueriedAt > ASK_AGAIN_MS,
    };
  }

  /** Usual time of a route's requests on an idle server, milliseconds. */
  baselineMs(route: Route): number {
    return (
      this.baselines.get(route.name) ?? route.targetMs * ASSUMED_BASELINE_SHARE
    );
  }

  /** Usual time of the shortest requests, milliseconds; 0 while not known. */
  private get shortestBaselineMs(): number {
    return this.baselines.size > 0 ? Math.min(...this.baselines.values()) : 0;
  }

  /** Factor on a server's cost that does not come from its load. */
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

function sendTo({server, cost}: Candidate): PlacementDecision {
  return {kind: 'send', candidate: {server, cost}};
}

/** Returns whether an entry is news about a server process that is known. */
export function isNewer(entry: ServerEntry, known: ServerEntry): boolean {
  if (entry.startedAt !== known.startedAt) {
    return entry.startedAt > known.startedAt;
  }
  return entry.sequence >= known.sequence;
}
