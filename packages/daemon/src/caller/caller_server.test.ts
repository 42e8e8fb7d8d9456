/** Tests of the callers' side over real connections. */
import {
  refusedNotRun,
  RefusalReason,
  refusedOutcomeUnknown,
} from '@ragworthall/balancer';
import {CallerHeader} from '@ragworthall/contracts';
import test from 'ava';
import {once} from 'node:events';
import {connect} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import {request} from 'undici';
import type {CallHandler} from './caller_handler.js';
import {CallerServer} from './caller_server.js';
import {
  answer,
  echo,
  exchange,
  GET,
  LAST,
  LIMITS,
  message,
  POST,
  resolvers,
  start,
} from './caller_server.test_support.js';

test('headers of the connection and of the system pass neither way', async t => {
  await using caller = await start(echo);
  const headers = [
    'Connection: close, X-Hop',
    'X-Hop: 1',
    'TE: trailers',
    'x-request-id: mine',
    'x-request-timeout-ms: 70',
    'x-load-in-flight: 0',
    'x-call-context: forged',
    'X-Kept: yes',
  ];
  const received = await exchange(caller.port, message(GET, headers));
  const [call] = caller.calls;
  t.deepEqual(call!.headers, ['x-kept', 'yes']);
  t.is(call!.timeoutMs, 70);
  const head = received.split('\r\n\r\n')[0]!.toLowerCase();
  ['x-hop', 'x-load', 'x-server', 'x-request-rank', 'not-run', '99'].forEach(
    absent => t.false(head.includes(absent), absent),
  );
  t.true(head.includes('x-kept: yes'));
  t.true(head.includes('x-outcome: ran'));
  t.true(head.includes('x-request-id: id-1'));
});

test('answers without a body keep the connection in step', async t => {
  const statuses = [204, 304, 200];
  await using caller = await start(() =>
    answer(statuses.shift()!, new Uint8Array(0)),
  );
  const received = await exchange(
    caller.port,
    message(GET, []) +
      message(GET, []) +
      message('HEAD /s/m/s/x HTTP/1.1', [LAST]),
  );
  const heads = received.split('\r\n\r\n');
  t.deepEqual(
    heads.map(head => head.split(' ')[1]),
    ['204', '304', '200', undefined],
  );
  t.false(heads[0]!.includes('content-length'));
  // The length that the backend server would have sent to a GET.
  t.true(heads[2]!.includes('content-length: 99'));
});

test('pipelined requests are answered in order', async t => {
  await using caller = await start(async req => {
    await delay(req.path === '/slow' ? 30 : 0);
    return answer(200, Buffer.from(req.path));
  });
  const received = await exchange(
    caller.port,
    message('GET /s/m/s/slow HTTP/1.1', []) +
      message('GET /s/m/s/fast HTTP/1.1', [LAST]),
  );
  t.true(received.indexOf('/slow') < received.indexOf('/fast'));
});

test('a body waits for 100 Continue', async t => {
  await using caller = await start(echo);
  const socket = connect(caller.port, '127.0.0.1');
  const headers = ['Content-Length: 2', 'Expect: 100-continue', LAST];
  socket.write(message(POST, headers));
  const [interim] = (await once(socket, 'data')) as [Buffer];
  t.true(interim.toString().startsWith('HTTP/1.1 100 '));
  socket.write('ab');
  await once(socket, 'end', {signal: AbortSignal.timeout(5_000)}).catch(
    () => undefined,
  );
  socket.destroy();
  t.is(Buffer.from(caller.calls[0]!.body).toString(), 'ab');
});

test('connections over the limit and bodies over the memory are refused', async t => {
  await using caller = await start(echo, {connections: 2, bodyBytes: 2_048});
  const held = [
    connect(caller.port, '127.0.0.1'),
    connect(caller.port, '127.0.0.1'),
  ];
  held[0]!.write(message(POST, ['Content-Length: 2000'], 'a'));
  await Promise.all(held.map(socket => once(socket, 'connect')));
  while (caller.server.connections < 2 || caller.server.bodyBytes < 2_000) {
    await delay(5);
  }
  const refused = await exchange(caller.port, message(GET, []));
  t.true(refused.includes('connections_exhausted'));
  held[1]!.write(message(POST, ['Content-Length: 100'], 'a'.repeat(100)));
  const [full] = (await once(held[1]!, 'data')) as [Buffer];
  t.true(full.toString().includes('body_memory_exhausted'));
  held.forEach(socket => socket.destroy());
  while (caller.server.bodyBytes > 0) await delay(5);
  t.is(caller.calls.length, 0);
});

test("a member's gate refuses, and gets its grant back after the answer", async t => {
  let held = 0;
  const gate = {
    admit: () => {
      if (held > 0) return refusedNotRun(RefusalReason.MemberShareSpent, 50);
      held += 1;
      const release = () => void (held -= 1);
      return {kind: 'granted' as const, [Symbol.dispose]: release};
    },
  };
  const blocked = resolvers();
  await using caller = await start(
    async req => {
      await blocked.promise;
      return echo(req);
    },
    {},
    {admission: gate},
  );
  const first = request(`${caller.url}/s/m/s/x`);
  while (held === 0) await delay(1);
  const second = await request(`${caller.url}/s/m/s/x`);
  t.is(second.headers[CallerHeader.Reason], 'member_share_spent');
  blocked.resolve();
  t.is((await first).statusCode, 200);
  while (held > 0) await delay(1);
  t.is(caller.calls.length, 1);
});

test('connections of a member over its share end with their answers', async t => {
  const shares = [{member: 'm', share: 0.1}];
  await using caller = await start(echo, {shares});
  const socket = connect(caller.port, '127.0.0.1');
  socket.write(message(GET, []));
  const [kept] = (await once(socket, 'data')) as [Buffer];
  t.true(kept.toString().toLowerCase().includes('connection: keep-alive'));
  const over = await exchange(caller.port, message(GET, []));
  t.true(over.toLowerCase().includes('connection: close'));
  socket.destroy();
});

test('disposal waits for the answer in flight and cuts nothing off', async t => {
  const blocked = resolvers();
  const caller = await start(async req => {
    await blocked.promise;
    return echo(req);
  });
  const pending = exchange(
    caller.port,
    message(POST, ['Content-Length: 2'], 'ab'),
  );
  while (caller.calls.length === 0) await delay(1);
  const disposed = caller[Symbol.asyncDispose]();
  await delay(20);
  blocked.resolve();
  const received = await pending;
  t.true(received.endsWith('\r\n\r\nab'));
  t.true(received.toLowerCase().includes('connection: close'));
  await disposed;
});

test('a caller that leaves aborts its call', async t => {
  const came = resolvers();
  const left = resolvers();
  const handler: CallHandler = {
    addresses: () => undefined,
    refuse: async (req, refused) =>
      req.key === 'ran' ? refusedOutcomeUnknown(refused.reason) : refused,
    handle: async (unusedReq, signal) => {
      came.resolve();
      await once(signal, 'abort');
      left.resolve();
      return refusedNotRun(RefusalReason.CallerLeft);
    },
  };
  await using server = new CallerServer(handler, LIMITS);
  const {port} = await server.listen(0, '127.0.0.1');
  const socket = connect(port, '127.0.0.1');
  socket.write(message(GET, []));
  await came.promise;
  socket.destroy();
  await left.promise;
  t.pass();
});
