/** Tests of what callers get when more requests come than servers can answer. */
import test from 'ava';
import type {Route} from '../route/route.js';
import {StopPlan} from '../instance/stop_plan.js';
import {serverEntry} from '../backend_server/server_entry.test_support.js';
import {SharedServer} from '../backend_server/shared_server.js';
import {SeededRandom} from '../link/random.js';
import {RepeatBudget} from './repeat_budget.js';
import {
  type PlayedOutcome,
  type PlayedRoute,
  playOverload,
} from './overload_play.test_support.js';
import {DropReason, placementRound} from './placement_round.js';
import {SharedService} from './shared_service.js';

const START = 10_000;
const BASELINE_MS = 100;

function route(name: string, urgency: number, targetMs = 400): Route {
  return {
    name,
    host: 'a.example',
    prefix: `/${name}/`,
    idempotent: false,
    timeoutMs: 4_000,
    targetMs,
    urgency,
    maxAttempts: 1,
    weightedServices: [{service: 's', weight: 1}],
  };
}

const URGENT = route('urgent', 0);
const NORMAL = route('normal', 1);

/** A service with one server of one slot, on which `running` requests run. */
function serviceWithLoad(running: number): SharedService {
  const budget = {ratio: 0, extra: 0, windowMs: 10_000};
  const random = new SeededRandom(1);
  const service = new SharedService(
    's',
    'a',
    random,
    new RepeatBudget(budget, {instanceCount: () => 1, restartedAt: -Infinity}),
    undefined,
  );
  service.reportsLoad = true;
  const server = new SharedServer(serverEntry({id: 'x', slots: 1}), START);
  const report = {running, waiting: 0, slots: 1, slowness: 1};
  server.recordLoadReport(report, START, START);
  service.put(server);
  [URGENT, NORMAL].forEach(({name}) =>
    service.recordDuration(name, BASELINE_MS, 1),
  );
  return service;
}

function waiting(of: Route, waitedMs: number, leftMs = 2_000) {
  const placement = {
    route: of,
    arrivedAt: START - waitedMs,
    endsAt: START + leftMs,
    tried: new Set<string>(),
  };
  return {placement, isAbandoned: false};
}

test('a request without time for an answer is refused at once, also if alone', t => {
  const service = serviceWithLoad(1);
  service.recordArrival(waiting(URGENT, 0).placement);
  const {dropped} = placementRound(
    service,
    [waiting(URGENT, 0, BASELINE_MS - 10)],
    START,
  );
  t.deepEqual(
    dropped.map(({why}) => why),
    [DropReason.NoTime],
  );
});

test('a late request is refused for one in time of its rank or above', t => {
  const late = waiting(NORMAL, 350);
  [waiting(NORMAL, 0), waiting(URGENT, 0)].forEach(timely => {
    const {dropped} = placementRound(serviceWithLoad(1), [late, timely], START);
    t.deepEqual(dropped, [{request: late, why: DropReason.NoCapacity}]);
  });
});

test('a late request waits if no other is in time, or if it was sent before', t => {
  const late = waiting(NORMAL, 350);
  const alone = placementRound(serviceWithLoad(1), [late], START);
  t.deepEqual([alone.dropped, alone.waiting], [[], [late]]);
  const {placement} = late;
  const sent = {...late, placement: {...placement, tried: new Set(['y'])}};
  const timely = Array.from({length: 5}, () => waiting(NORMAL, 0));
  const busy = placementRound(serviceWithLoad(1), [sent, ...timely], START);
  t.deepEqual(busy.dropped, []);
  t.is(busy.waiting.length, 6);
});

test('a late urgent request goes before a less urgent one that is in time', t => {
  const late = waiting(URGENT, 350);
  const timely = waiting(NORMAL, 0);
  const busy = placementRound(serviceWithLoad(1), [timely, late], START);
  t.deepEqual(busy.dropped, []);
  const free = placementRound(serviceWithLoad(0), [timely, late], START);
  t.is(free.placed[0]?.request, late);
  t.deepEqual(free.waiting, [timely]);
});

/** Share of the asked requests. */
function share(outcome: PlayedOutcome, count: keyof PlayedOutcome): number {
  return outcome[count] / Math.max(1, outcome.asked);
}

const SERVERS = {servers: 10, slots: 4};

/** Callers who wait little longer than the target, at twice the capacity. */
const IMPATIENT: PlayedRoute = {
  route: route('impatient', 1, 800),
  workMs: 160,
  patienceMs: 1_200,
  perSecond: 200,
};
/**
 * Requests a second that the servers finish with all their slots: three quarters
 * of them are not slow, a request meets slowness of 1.5 on its way, and a full
 * server is slower by 1.7.
 */
const CAPACITY_PER_S = (10 * 4 * 0.75) / (0.16 * 1.5 * 1.7);

test('under overload servers finish what they are sent', t => {
  [1, 2, 3].forEach(seed => {
    const played = playOverload([IMPATIENT], {...SERVERS, ms: 20_000, seed});
    const outcome = played.get('impatient')!;
    const info = JSON.stringify(outcome);
    // Slots are not spent on requests whose deadline comes first: only servers
    // that slow down later leave some unfinished.
    t.true(share(outcome, 'unfinished') < 0.05, info);
    t.true(outcome.inTarget >= 0.9 * CAPACITY_PER_S * 20, info);
  });
});

/** Loads on two, three and four slots whose urgent part alone fits. */
const TWO_RANKS = [
  {
    slots: 2,
    workMs: 220,
    targetMs: 600,
    patienceMs: 1_500,
    perSecond: [20, 40],
  },
  {
    slots: 3,
    workMs: 120,
    targetMs: 300,
    patienceMs: 2_500,
    perSecond: [60, 80],
  },
  {
    slots: 4,
    workMs: 160,
    targetMs: 800,
    patienceMs: 3_000,
    perSecond: [95, 95],
  },
];

TWO_RANKS.forEach(load => {
  test(`under overload of servers with ${load.slots} slots urgent requests are served first`, t => {
    [1, 2].forEach(seed => {
      const {slots, targetMs, perSecond, ...common} = load;
      const names = ['urgent', 'normal'];
      const played = playOverload(
        names.map((name, rank) => ({
          ...common,
          route: route(name, rank, targetMs),
          perSecond: perSecond[rank]!,
        })),
        {servers: 10, slots, ms: 20_000, seed},
      );
      const [urgent, normal] = names.map(name => played.get(name)!);
      const info = JSON.stringify([urgent, normal]);
      t.true(share(urgent!, 'inTarget') > 0.8, info);
      t.true(share(urgent!, 'refused') < 0.01, info);
      t.true(share(normal!, 'refused') > 0.1, info);
    });
  });
});

test('without overload nothing is refused', t => {
  const light = {...IMPATIENT, perSecond: 50};
  const played = playOverload([light], {...SERVERS, ms: 20_000, seed: 1});
  const outcome = played.get('impatient')!;
  t.is(outcome.refused, 0, JSON.stringify(outcome));
  t.true(share(outcome, 'inTarget') > 0.97, JSON.stringify(outcome));
});

test('a waiting request that a stop would cut off is refused, one that ends in time is sent', t => {
  const stop = new StopPlan(START + 700);
  const urgent = waiting(URGENT, 0);
  const soon = placementRound(serviceWithLoad(0), [urgent], START, stop);
  t.is(soon.placed.length, 1);
  const late = placementRound(serviceWithLoad(0), [urgent], START + 500, stop);
  t.deepEqual(late.dropped, [{request: urgent, why: DropReason.Stopping}]);
  t.deepEqual(late.placed, []);
});
