/**
 * Plays a load on one service in simulated time: callers with deadlines, who come
 * back once when they are refused, and servers whose speed changes. The decisions
 * are those of the product.
 */
import {serverEntry} from '../backend_server/server_entry.test_support.js';
import {SharedServer} from '../backend_server/shared_server.js';
import {SeededRandom} from '../link/random.js';
import {RepeatBudget} from './repeat_budget.js';
import type {Route} from '../route/route.js';
import {placementRound, type WaitingRequest} from './placement_round.js';
import {retryDelayMs} from './retry_advice.js';
import type {Candidate} from './server_snapshot.js';
import {type PlacementRequest, SharedService} from './shared_service.js';

/** One step of the simulation, milliseconds. */
const STEP_MS = 5;
/** Time for which a server keeps its speed, milliseconds. */
const SPEED_MS = 150;
/** Share of that time in which a server is slow, and how slow it is then. */
const SLOW_SHARE = 0.25;
const SLOWNESS = 5;
const RANDOM_STEPS = 1_000;
/** Slowdown of a server while more than this share of its slots is in use. */
const NEARLY_FULL = {share: 0.8, slowdown: 1.7};

/** A kind of request and how many of them come. */
export interface PlayedRoute {
  readonly route: Route;
  /** Usual duration on an idle server, milliseconds. */
  readonly workMs: number;
  /** Time for which callers wait, milliseconds. */
  readonly patienceMs: number;
  readonly perSecond: number;
}

/** What callers of one route got. */
export interface PlayedOutcome {
  asked: number;
  inTarget: number;
  late: number;
  /** Told that the request had not run, at the last try. */
  refused: number;
  /** Run by a server that did not finish before the deadline. */
  unfinished: number;
  /** Total time for which refused requests were held, milliseconds. */
  heldMs: number;
}

class PlayedRequest implements WaitingRequest {
  readonly isAbandoned = false;
  readonly placement: PlacementRequest;
  workLeftMs: number;
  candidate: Candidate | undefined;
  sentAt = 0;

  constructor(
    readonly played: PlayedRoute,
    readonly firstAt: number,
    arrivedAt: number,
    readonly isReturn: boolean,
  ) {
    this.workLeftMs = played.workMs;
    this.placement = {
      route: played.route,
      arrivedAt,
      endsAt: firstAt + played.patienceMs,
      tried: new Set(),
    };
  }
}

/** A server that works on the requests it was sent. */
class PlayedServer {
  readonly running: PlayedRequest[] = [];
  slowness = 1;

  constructor(readonly shared: SharedServer) {}
}

/** Plays the routes for a time; returns what the callers of each got. */
export function playOverload(
  routes: readonly PlayedRoute[],
  options: {
    readonly servers: number;
    readonly slots: number;
    readonly ms: number;
    readonly seed: number;
  },
): ReadonlyMap<string, PlayedOutcome> {
  const random = new SeededRandom(options.seed);
  const fraction = () => random.nextInt(RANDOM_STEPS) / RANDOM_STEPS;
  const budget = {ratio: 0.2, extra: 0, windowMs: 10_000};
  const service = new SharedService(
    's',
    'a',
    random,
    new RepeatBudget(budget, {instanceCount: () => 1, restartedAt: -Infinity}),
    undefined,
  );
  service.reportsLoad = true;
  const servers = Array.from({length: options.servers}, (_, i) => {
    const entry = serverEntry({id: `s${i}`, slots: options.slots});
    return new PlayedServer(new SharedServer(entry, 0));
  });
  servers.forEach(({shared}) => service.put(shared));
  routes.forEach(({route, workMs}) =>
    service.recordDuration(route.name, workMs, 1),
  );
  const outcomes = new Map(
    routes.map(({route}) => [
      route.name,
      {asked: 0, inTarget: 0, late: 0, refused: 0, unfinished: 0, heldMs: 0},
    ]),
  );
  let waiting: readonly PlayedRequest[] = [];
  const returning: {at: number; request: PlayedRequest}[] = [];

  const arrive = (now: number) =>
    routes.flatMap(played => {
      const isDue = fraction() < (played.perSecond * STEP_MS) / 1_000;
      if (!isDue) return [];
      outcomes.get(played.route.name)!.asked += 1;
      return [new PlayedRequest(played, now, now, false)];
    });

  const work = (server: PlayedServer, now: number) => {
    const isNearlyFull =
      server.running.length > NEARLY_FULL.share * options.slots;
    const slowness =
      server.slowness * (isNearlyFull ? NEARLY_FULL.slowdown : 1);
    server.running.forEach(r => (r.workLeftMs -= STEP_MS / slowness));
    const isOver = (r: PlayedRequest) =>
      r.workLeftMs <= 0 || now >= r.placement.endsAt;
    server.running.filter(isOver).forEach(request => {
      server.running.splice(server.running.indexOf(request), 1);
      server.shared.recordEnd();
      const {candidate, sentAt, played} = request;
      const outcome = outcomes.get(played.route.name)!;
      if (request.workLeftMs > 0) {
        outcome.unfinished += 1;
        return;
      }
      service.recordDuration(played.route.name, now - sentAt, candidate!.cost);
      if (now - request.firstAt <= played.route.targetMs) {
        outcome.inTarget += 1;
      } else outcome.late += 1;
    });
  };

  const refuse = (request: PlayedRequest, now: number) => {
    const {placement, played, isReturn} = request;
    const outcome = outcomes.get(played.route.name)!;
    outcome.heldMs += now - placement.arrivedAt;
    const timeLeftMs = placement.endsAt - now;
    const known = {timeLeftMs, baselineMs: played.workMs, waitMs: 0};
    const at = now + retryDelayMs(known, random);
    if (isReturn || at >= placement.endsAt) outcome.refused += 1;
    else returning.push({at, request});
  };

  for (let now = 0; now < options.ms; now += STEP_MS) {
    if (now % SPEED_MS === 0) {
      servers.forEach(
        s => (s.slowness = fraction() < SLOW_SHARE ? SLOWNESS : 1),
      );
    }
    servers.forEach(server => work(server, now));
    servers.forEach(({shared, running, slowness}) => {
      const report = {running: running.length, waiting: 0, slowness};
      shared.recordLoadReport({...report, slots: options.slots}, now, now);
    });
    const back = returning.filter(({at}) => at <= now);
    back.forEach(entry => returning.splice(returning.indexOf(entry), 1));
    const returned = back.map(
      ({request: {played, firstAt}}) =>
        new PlayedRequest(played, firstAt, now, true),
    );
    const arrived = [...returned, ...arrive(now)];
    arrived.forEach(({placement}) => service.recordArrival(placement));
    const round = placementRound(service, [...waiting, ...arrived], now);
    waiting = round.waiting;
    round.dropped.forEach(({request}) => refuse(request, now));
    round.placed.forEach(({request, candidate}) => {
      request.candidate = candidate;
      request.sentAt = now;
      const server = servers.find(({shared}) => shared === candidate.server);
      server!.running.push(request);
    });
  }
  return outcomes;
}
