import {setTimeout} from 'node:timers/promises';
import {BackendHeader, CallerHeader, LOAD_PATH} from '@ragworthall/contracts';
import test from 'ava';
import {Client, request} from 'undici';
import {BackendServer} from './backend_server.js';
import type {LedgerReport} from './ledger.js';

/** Longer than the timeout of any test. */
const LONG_MS = 3_600_000;

const OPTIONS = {id: 'b1', slots: 1, serviceMs: 0, probeCostMs: 0};

const send = (
  server: BackendServer,
  requestId: string,
  body = '',
  signal?: AbortSignal,
) =>
  request(`${server.url}/work?x=1`, {
    method: 'POST',
    headers: {[BackendHeader.RequestId]: requestId},
    body,
    signal,
  });

/** Polls until the condition holds. */
async function waitUntil(condition: () => boolean): Promise<void> {
  while (!condition()) await setTimeout(2);
}

/** Polls until the ledger satisfies the condition. */
const waitForLedger = (
  server: BackendServer,
  condition: (report: LedgerReport) => boolean,
) => waitUntil(() => condition(server.ledgerReport()));

const waitForStart = (server: BackendServer, requestId: string) =>
  waitForLedger(server, ({runs}) => runs[requestId] !== undefined);

const oneFinishedRun = {count: 1, finished: 1, cancelled: 0};

test('an answer echoes the request and carries the load', async t => {
  await using server = await BackendServer.start(OPTIONS);
  const answer = await request(`${server.url}/work?x=1`, {
    method: 'POST',
    headers: {
      [BackendHeader.RequestId]: 'r1',
      [CallerHeader.IdempotencyKey]: 'k1',
    },
    body: 'hello',
  });
  t.like(answer.headers, {
    [BackendHeader.RequestId]: 'r1',
    [BackendHeader.InFlight]: '0',
    [BackendHeader.State]: 'serving',
  });
  t.deepEqual(await answer.body.json(), {
    server: 'b1',
    requestId: 'r1',
    path: '/work?x=1',
    key: 'k1',
    echo: 'hello',
  });
  t.deepEqual(server.ledgerReport().runs, {k1: oneFinishedRun});
});

test('requests beyond slots and queue are shed and not run', async t => {
  await using server = await BackendServer.start({
    ...OPTIONS,
    serviceMs: LONG_MS,
    queueLimit: 0,
  });
  const cancel = new AbortController();
  const running = t.throwsAsync(send(server, 'r1', '', cancel.signal), {
    any: true,
  });
  await waitForStart(server, 'r1');
  const shed = await send(server, 'r2');
  t.is(shed.statusCode, 503);
  t.is(shed.headers[BackendHeader.Shed], '1');
  t.is(shed.headers[BackendHeader.InFlight], '1');
  cancel.abort();
  await running;
  await waitForLedger(server, ({runs}) => runs['r1']!.cancelled === 1);
  const report = server.ledgerReport();
  t.deepEqual(report.runs, {r1: {count: 1, finished: 0, cancelled: 1}});
  t.deepEqual(report.shed, ['r2']);
  t.is(report.maxConcurrent, 1);
});

test('a closed connection cancels a queued request', async t => {
  await using server = await BackendServer.start({
    ...OPTIONS,
    serviceMs: LONG_MS,
  });
  const running = t.throwsAsync(send(server, 'r1'));
  await waitForStart(server, 'r1');
  const cancel = new AbortController();
  const waiting = t.throwsAsync(send(server, 'r2', '', cancel.signal), {
    any: true,
  });
  await waitUntil(() => server.inFlight === 2);
  cancel.abort();
  await waiting;
  await waitForLedger(server, report => report.cancelledWaiting.includes('r2'));
  t.is(server.ledgerReport().runs['r2'], undefined);
  await server[Symbol.asyncDispose]();
  await running;
});

test('faults are set over HTTP and unknown ones are rejected', async t => {
  await using server = await BackendServer.start(OPTIONS);
  const post = (faults: unknown) =>
    request(`${server.url}/control/faults`, {
      method: 'POST',
      body: JSON.stringify({faults}),
    });
  t.is((await post([{kind: 'fail_fast'}])).statusCode, 204);
  t.is((await send(server, 'r1')).statusCode, 500);
  t.is((await post([{kind: 'fail_slow'}])).statusCode, 400);
  t.is((await post([])).statusCode, 204);
  t.is((await send(server, 'r2')).statusCode, 200);
});

test('a draining server reports its state and records new requests', async t => {
  await using server = await BackendServer.start(OPTIONS);
  await send(server, 'r1');
  server.setFaults([{kind: 'state', state: 'draining'}]);
  const answer = await send(server, 'r2');
  t.is(answer.headers[BackendHeader.State], 'draining');
  const report = server.ledgerReport();
  t.is(report.workAfterDraining.length, 1);
  t.true(report.workAfterDraining[0]! >= report.drainingSince!);
});

test('misleading_health hides load and state', async t => {
  await using server = await BackendServer.start(OPTIONS);
  const load = async () =>
    (await request(`${server.url}${LOAD_PATH}`)).body.json();
  server.setFaults([{kind: 'state', state: 'draining'}]);
  const actualLoad = {id: 'b1', inFlight: 0, slots: 1, state: 'draining'};
  t.deepEqual(await load(), actualLoad);
  server.setFaults([
    {kind: 'state', state: 'draining'},
    {kind: 'misleading_health'},
  ]);
  t.deepEqual(await load(), {...actualLoad, state: 'serving'});
  t.is(server.ledgerReport().probes.length, 2);
});

test('lagging_health returns an outdated state', async t => {
  await using server = await BackendServer.start(OPTIONS);
  const load = async () =>
    (await request(`${server.url}${LOAD_PATH}`)).body.json();
  t.like(await load(), {state: 'serving'});
  server.setFaults([
    {kind: 'state', state: 'draining'},
    {kind: 'lagging_health', ms: LONG_MS},
  ]);
  t.like(await load(), {state: 'serving'});
  server.setFaults([{kind: 'state', state: 'draining'}]);
  t.like(await load(), {state: 'draining'});
});

test('a truncated answer ends in the middle of the body, after a completed run', async t => {
  await using server = await BackendServer.start(OPTIONS);
  server.setFaults([{kind: 'cut_answers', count: 1}]);
  const truncated = await send(server, 'r1', 'body');
  await t.throwsAsync(truncated.body.text());
  t.deepEqual(server.ledgerReport().runs, {r1: oneFinishedRun});
  const complete = await send(server, 'r2', 'body');
  t.like(await complete.body.json(), {echo: 'body'});
});

test('a late answer does not occupy a slot', async t => {
  await using server = await BackendServer.start(OPTIONS);
  server.setFaults([{kind: 'late_answers', ms: LONG_MS}]);
  const late = t.throwsAsync(send(server, 'r1'));
  await waitForLedger(server, ({runs}) => runs['r1']?.finished === 1);
  t.is(server.inFlight, 0);
  await server[Symbol.asyncDispose]();
  await late;
});

test('the straggler fault lengthens the service time', async t => {
  await using server = await BackendServer.start({
    ...OPTIONS,
    queueLimit: 0,
    serviceMs: 1,
  });
  server.setFaults([{kind: 'straggler', slowFactor: LONG_MS}]);
  const slow = t.throwsAsync(send(server, 'r1'));
  await waitForStart(server, 'r1');
  t.is((await send(server, 'r2')).statusCode, 503);
  await server[Symbol.asyncDispose]();
  await slow;
});

test('a probe occupies a slot', async t => {
  await using server = await BackendServer.start({
    ...OPTIONS,
    queueLimit: 0,
    probeCostMs: LONG_MS,
  });
  const probe = t.throwsAsync(request(`${server.url}${LOAD_PATH}`));
  await waitForLedger(server, ({probes}) => probes.length === 1);
  t.is((await send(server, 'r1')).statusCode, 503);
  await server[Symbol.asyncDispose]();
  await probe;
});

test('silent_connections affects open connections but not new ones', async t => {
  await using server = await BackendServer.start(OPTIONS);
  const path = '/work';
  const client = new Client(server.url);
  const headers = (id: string) => ({[BackendHeader.RequestId]: id});
  const first = await client.request({
    method: 'GET',
    path,
    headers: headers('r1'),
  });
  await first.body.dump();
  server.setFaults([{kind: 'silent_connections'}]);
  server.setFaults([]);
  let closed = false;
  client.once('disconnect', () => (closed = true));
  const silent = client.request({
    method: 'GET',
    path,
    headers: headers('r2'),
  });
  const noAnswer = t.throwsAsync(silent);
  await send(server, 'r3');
  t.false(closed);
  t.deepEqual(Object.keys(server.ledgerReport().runs), ['r1', 'r3']);
  await client.destroy();
  await noAnswer;
});

test('a crashed server refuses new connections', async t => {
  await using server = await BackendServer.start(OPTIONS);
  server.setFaults([
    {kind: 'crash_on_body', text: 'poison', restartMs: LONG_MS},
  ]);
  await t.throwsAsync(send(server, 'r1', 'has poison in it'));
  await t.throwsAsync(send(server, 'r2'), {code: 'ECONNREFUSED'});
  t.deepEqual(Object.keys(server.ledgerReport().runs), ['r1']);
});

test('a crash cancels all runs and the server restarts with a cold start', async t => {
  await using server = await BackendServer.start({
    ...OPTIONS,
    slots: 2,
    serviceMs: LONG_MS,
    coldStart: {durationMs: LONG_MS, slowFactor: 2},
  });
  const {port} = server;
  server.setFaults([{kind: 'crash_on_body', text: 'poison', restartMs: 0}]);
  const running = t.throwsAsync(send(server, 'r1'));
  await waitForStart(server, 'r1');
  await t.throwsAsync(send(server, 'r2', 'has poison in it'));
  await running;
  await waitForLedger(server, ({runs}) => runs['r2']!.cancelled === 1);
  t.is(server.port, port);
  const load = await request(`${server.url}${LOAD_PATH}`);
  t.like(await load.body.json(), {inFlight: 0, state: 'starting'});
  const oneCancelledRun = {count: 1, finished: 0, cancelled: 1};
  t.deepEqual(server.ledgerReport().runs, {
    r1: oneCancelledRun,
    r2: oneCancelledRun,
  });
});

test('a crashed server does not run queued requests', async t => {
  await using server = await BackendServer.start({
    ...OPTIONS,
    queueLimit: 2,
    slots: 2,
    serviceMs: LONG_MS,
  });
  server.setFaults([{kind: 'crash_on_body', text: 'poison', restartMs: 0}]);
  // The queued request uses the oldest connection, so that it is closed last.
  const client = new Client(server.url);
  await (await client.request({method: 'GET', path: LOAD_PATH})).body.dump();
  const running = t.throwsAsync(send(server, 'r1'));
  await waitForStart(server, 'r1');
  const cancel = new AbortController();
  const cancelled = t.throwsAsync(send(server, 'r2', '', cancel.signal), {
    any: true,
  });
  await waitForStart(server, 'r2');
  const crashing = t.throwsAsync(send(server, 'r3', 'poison'));
  await waitUntil(() => server.inFlight === 3);
  const waiting = t.throwsAsync(
    client.request({
      method: 'GET',
      path: '/work',
      headers: {[BackendHeader.RequestId]: 'r4'},
    }),
  );
  await waitUntil(() => server.inFlight === 4);
  cancel.abort();
  await Promise.all([running, cancelled, crashing, waiting]);
  await waitForLedger(server, ({runs}) => runs['r3']!.cancelled === 1);
  const {runs, cancelledWaiting} = server.ledgerReport();
  t.deepEqual(Object.keys(runs), ['r1', 'r2', 'r3']);
  t.deepEqual(cancelledWaiting, ['r4']);
  t.is(server.inFlight, 0);
  await client.destroy();
});
