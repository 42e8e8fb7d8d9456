/** Tests of the choice among backend servers that other instances use too. */
import test from 'ava';
import fc from 'fast-check';
import {serverEntry} from '../backend_server/server_entry.test_support.js';
import {
  EntryState,
  isAtLeastAsRecent,
  SharedServer,
} from '../backend_server/shared_server.js';
import {SeededRandom} from '../link/random.js';
import type {Route} from '../route/route.js';
import {RepeatBudget} from './repeat_budget.js';
import {type PlacementRequest, SharedService} from './shared_service.js';

const START = 10_000;
/** The only instance of its fleet, started long ago. */
const ALONE = {instanceCount: () => 1, restartedAt: -Infinity};
const BASELINE_MS = 100;
const ROUTE: Route = {
  name: 'r',
  host: 'a.example',
  prefix: '/',
  idempotent: true,
  timeoutMs: 1_000,
  targetMs: 300,
  urgency: 0,
  maxAttempts: 2,
  weightedServices: [{service: 's', weight: 1}],
};

function serviceOf(ids: readonly string[]): {
  service: SharedService;
  servers: readonly SharedServer[];
} {
  const budget = {ratio: 0.2, extra: 1, windowMs: 10_000};
  const service = new SharedService(
    's',
    'a',
    new SeededRandom(1),
    new RepeatBudget(budget, ALONE),
    undefined,
  );
  service.reportsLoad = true;
  service.recordDuration(ROUTE.name, BASELINE_MS, 1);
  const servers = ids.map(id => new SharedServer(serverEntry({id}), START));
  servers.forEach(server => service.put(server));
  return {service, servers};
}

function requestAt(arrivedAt = START): PlacementRequest {
  return {route: ROUTE, arrivedAt, endsAt: arrivedAt + 1_000, tried: new Set()};
}

function report(
  server: SharedServer,
  running: number,
  slowness: number,
  at = START,
): void {
  server.recordLoadReport({running, waiting: 0, slots: 2, slowness}, at, at);
}

test('servers without a recent report are asked first', t => {
  const {service} = serviceOf(['x', 'y']);
  t.is(service.place(requestAt(), START).kind, 'ask');
});

test('an idle server of normal speed is used at once', t => {
  const {service, servers} = serviceOf(['x', 'y']);
  report(servers[1]!, 0, 1);
  const place = service.place(requestAt(), START);
  t.is(place.kind === 'send' && place.candidate.server, servers[1]!);
});

test('a request that can still meet its target waits rather than use a slow server', t => {
  const {service, servers} = serviceOf(['x', 'y']);
  servers.forEach(server => report(server, 0, 4));
  t.is(service.place(requestAt(), START).kind, 'wait');
});

test('a late request uses an idle slow server, but no busy one', t => {
  const {service, servers} = serviceOf(['x', 'y']);
  report(servers[0]!, 0, 4);
  report(servers[1]!, 1, 1);
  const late = requestAt(START - 250);
  const place = service.place(late, START);
  t.is(place.kind === 'send' && place.candidate.server, servers[0]!);
  servers[0]!.recordSend(START);
  t.is(service.place(late, START).kind, 'wait');
});

test('no request is placed on a server that is known to be full', t => {
  fc.assert(
    fc.property(
      fc.array(fc.tuple(fc.integer({min: 0, max: 4}), fc.boolean()), {
        minLength: 1,
        maxLength: 6,
      }),
      fc.integer({min: 0, max: 900}),
      (loads, waited) => {
        const {service, servers} = serviceOf(loads.map((_, i) => `s${i}`));
        loads.forEach(([running, slow], i) =>
          report(servers[i]!, running, slow ? 4 : 1),
        );
        const place = service.place(requestAt(START - waited), START);
        return (
          place.kind !== 'send' || place.candidate.server.loadAt(START) < 2
        );
      },
    ),
  );
  t.pass();
});

test('a report does not discount requests sent after the server was asked', t => {
  const {servers} = serviceOf(['x']);
  const [server] = servers;
  server!.recordSend(START + 2);
  server!.recordEnd();
  // The server was asked before the send and answered after it.
  server!.recordLoadReport(
    {running: 0, waiting: 0, slots: 2, slowness: 1},
    START,
    START + 3,
  );
  t.is(server!.loadAt(START + 3), 1);
});

test('a full server is asked again when its report expires', t => {
  const {service, servers} = serviceOf(['x']);
  report(servers[0]!, 2, 1);
  t.is(service.place(requestAt(), START + 50).kind, 'wait');
  t.is(service.place(requestAt(), START + 200).kind, 'ask');
});

test('servers that are leaving or misplaced get no requests', t => {
  const {service, servers} = serviceOf(['x', 'y']);
  servers.forEach(server => report(server, 0, 1));
  servers[0]!.update(serverEntry({id: 'x', state: EntryState.Leaving}), START);
  servers[1]!.markMisplaced();
  t.is(service.place(requestAt(), START).kind, 'wait');
});

test('failures and missing answers raise the cost of a server', t => {
  const {service, servers} = serviceOf(['x', 'y', 'z']);
  servers.forEach(server => report(server, 0, 1));
  servers[0]!.recordFailure(START);
  servers[1]!.recordNoResponse(START);
  const order = service
    .snapshot(START)
    .candidates(new Set())
    .map(c => c.server);
  t.deepEqual(order, [servers[2], servers[0], servers[1]]);
});

test('an entry is newer by start time, then by sequence number', t => {
  const known = serverEntry({id: 'x', startedAt: 5, sequence: 9});
  t.true(
    isAtLeastAsRecent(
      serverEntry({id: 'x', startedAt: 5, sequence: 10}),
      known,
    ),
  );
  t.false(
    isAtLeastAsRecent(serverEntry({id: 'x', startedAt: 5, sequence: 8}), known),
  );
  t.true(
    isAtLeastAsRecent(serverEntry({id: 'x', startedAt: 6, sequence: 1}), known),
  );
  t.false(
    isAtLeastAsRecent(
      serverEntry({id: 'x', startedAt: 4, sequence: 99}),
      known,
    ),
  );
});

test('repeated sends stay within the ratio in every window', t => {
  fc.assert(
    fc.property(
      fc.array(fc.tuple(fc.integer({min: 0, max: 400}), fc.boolean()), {
        maxLength: 300,
      }),
      steps => {
        // One of 1.25 shares: three repeated sends.
        const limits = {ratio: 0.2, extra: 3.75, windowMs: 10_000};
        const budget = new RepeatBudget(limits, ALONE);
        let now = START;
        const requests: number[] = [];
        const repeats: number[] = [];
        steps.forEach(([gap, repeat]) => {
          now += gap;
          if (!repeat) {
            budget.recordRequest(now);
            requests.push(now);
          } else if (budget.trySpend(now)) repeats.push(now);
        });
        return repeats.every(end => {
          const inWindow = (at: number) => at <= end && at > end - 10_000;
          const spent = repeats.filter(inWindow).length;
          const asked = requests.filter(inWindow);
          return spent <= 0.2 * asked.length + 3;
        });
      },
    ),
  );
  t.pass();
});

test('repeated sends count until the whole window has passed', t => {
  const budget = new RepeatBudget(
    {ratio: 0, extra: 3.75, windowMs: 10_000},
    ALONE,
  );
  const spend = (now: number) =>
    [1, 2, 3, 4].filter(() => budget.trySpend(now)).length;
  t.is(spend(START + 900), 3);
  t.is(spend(START + 10_100), 0);
  t.is(spend(START + 12_000), 3);
});

test('servers with open connections are asked before those without', t => {
  const ids = Array.from({length: 20}, (_, i) => `s${i}`);
  const {service, servers} = serviceOf(ids);
  const used = servers.slice(7, 9);
  used.forEach(server => report(server, 0, 1));
  const now = START + 3_000;
  const place = service.place(requestAt(now), now);
  if (place.kind !== 'ask') return t.fail(place.kind);
  const first = place.servers.slice(0, 2).map(server => server.entry.id);
  t.deepEqual(first.sort(), ['s7', 's8']);
  return undefined;
});

test('a server that stays full is not asked repeatedly', t => {
  const {service, servers} = serviceOf(['x']);
  const [server] = servers;
  // Two requests run and four wait on two slots: the first slot is expected to
  // become free after 250 ms or so.
  server!.recordLoadReport(
    {running: 2, waiting: 4, slots: 2, slowness: 1},
    START,
    START,
  );
  t.is(service.place(requestAt(START), START + 105).kind, 'wait');
  t.is(service.place(requestAt(START), START + 140).kind, 'ask');
});

test('a request that a server cannot finish in time is not sent to it', t => {
  const {service, servers} = serviceOf(['x', 'y']);
  report(servers[0]!, 0, 1);
  report(servers[1]!, 1, 1.3);
  const endingIn = (ms: number) => ({...requestAt(), endsAt: START + ms});
  service.recordArrival(requestAt());
  t.is(service.place(endingIn(BASELINE_MS * 1.05), START).kind, 'send');
  t.is(service.place(endingIn(BASELINE_MS * 0.95), START).kind, 'wait');
  t.false(service.canBeServed(endingIn(BASELINE_MS * 0.95), START));
  t.true(service.canBeServed(endingIn(BASELINE_MS * 1.05), START));
  t.false(service.canMeetTarget(endingIn(BASELINE_MS * 1.05), START));
  t.true(service.canMeetTarget(endingIn(BASELINE_MS * 1.5), START));
});

test('servers that fail alike are used nevertheless, the better ones first', t => {
  const {service, servers} = serviceOf(['x', 'y', 'z']);
  servers.forEach(server => report(server, 0, 1));
  const fail = (server: SharedServer, times: number) =>
    Array.from({length: times}, () => server.recordFailure(START));
  fail(servers[0]!, 8);
  fail(servers[1]!, 6);
  fail(servers[2]!, 7);
  const place = service.place(requestAt(), START);
  t.is(place.kind === 'send' && place.candidate.server, servers[1]!);
});

test('servers that all say they are unhealthy are used nevertheless', t => {
  const {service, servers} = serviceOf(['x', 'y', 'z']);
  servers.forEach(server => {
    report(server, 0, 1);
    server.recordHealth(false);
  });
  t.is(service.place(requestAt(), START).kind, 'send');
  servers[0]!.recordHealth(true);
  servers[1]!.recordHealth(true);
  const place = service.place(requestAt(), START);
  t.not(place.kind === 'send' && place.candidate.server, servers[2]!);
});

test('callers with all their time are served, however long requests took before', t => {
  const {service, servers} = serviceOf(['x']);
  for (let i = 0; i < 100; i++) service.recordDuration(ROUTE.name, 5_000, 1);
  report(servers[0]!, 0, 1);
  const fresh = requestAt();
  service.recordArrival(fresh);
  t.true(service.canBeServed(fresh, START));
  t.is(service.place(fresh, START).kind, 'send');
  // One that has used up more than half of it would hardly be answered.
  t.false(service.canBeServed({...fresh, endsAt: START + 400}, START));
});
