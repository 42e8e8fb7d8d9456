/** Tests of the HTTP connections to backend servers, over real sockets. */
import type {Attempt, Call} from '@ragworthall/balancer';
import {Rank, ServerState} from '@ragworthall/contracts';
import test from 'ava';
import {once} from 'node:events';
import {createServer, type RequestListener} from 'node:http';
import {
  type AddressInfo,
  connect,
  createServer as createTcpServer,
  type Server,
  type Socket,
} from 'node:net';
import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';
import {CallContextCodec} from '../caller/call_context.js';
import {HttpBackendLink} from './http_backend_link.js';

const CALL: Call = {
  id: 'call-1',
  serviceId: 'altamar/grids',
  contract: {
    name: 'fetch',
    method: 'GET',
    path: '/*',
    rank: Rank.Live,
    idempotent: true,
    deadlineMs: 10_000,
    targetMs: 100,
  },
  rank: Rank.Live,
  method: 'GET',
  path: '/grid?day=1',
  headers: [],
  body: new Uint8Array(),
  deadline: 10_000,
  retriesLeft: 0,
  depth: 0,
  fingerprint: 'f',
};

/** Server on a free port of the loopback address. */
class LocalServer implements AsyncDisposable {
  private constructor(
    private readonly server: Server,
    readonly address: string,
    private readonly sockets: Set<Socket>,
  ) {}

  static async start(server: Server): Promise<LocalServer> {
    const sockets = new Set<Socket>();
    server.on('connection', (socket: Socket) => sockets.add(socket));
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
    const {port} = server.address() as AddressInfo;
    return new LocalServer(server, `127.0.0.1:${port}`, sockets);
  }

  static http(listener: RequestListener): Promise<LocalServer> {
    return LocalServer.start(createServer(listener));
  }

  /** Number of connections opened to the server so far. */
  get connections(): number {
    return this.sockets.size;
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.sockets.forEach(socket => socket.destroy());
    this.server.close();
    await once(this.server, 'close');
  }
}

/** Starts a TCP proxy that drops the answers on its first connection. */
async function startLossyProxy(target: string): Promise<LocalServer> {
  const [host, port] = target.split(':');
  let opened = 0;
  const proxy = createTcpServer(socket => {
    opened += 1;
    const dropsAnswers = opened === 1;
    const upstream = connect(Number(port), host);
    socket.on('error', () => upstream.destroy());
    upstream.on('error', () => socket.destroy());
    socket.on('close', () => upstream.destroy());
    socket.pipe(upstream);
    if (dropsAnswers) upstream.resume();
    else upstream.pipe(socket);
  });
  return LocalServer.start(proxy);
}

function send(
  link: HttpBackendLink,
  address: string,
  timeoutMs = 5_000,
  signal = new AbortController().signal,
  silenceMs?: number,
): Promise<Attempt> {
  return link.send(address, CALL, timeoutMs, signal, silenceMs);
}

/** Time without data after which a connection is suspect, milliseconds. */
const MAX_SILENCE_MS = 50;

/**
 * Sends a call through a proxy that drops its answer; resolves when the
 * connection has been silent for longer than the limit. The pending attempt is
 * returned in an object because a returned promise would be awaited.
 */
async function sendAndLoseAnswer(
  link: HttpBackendLink,
  arrived: Promise<void>,
  address: string,
) {
  const neverAborted = new AbortController().signal;
  const pendingAttempt = send(
    link,
    address,
    60_000,
    neverAborted,
    MAX_SILENCE_MS,
  );
  await arrived;
  await new Promise(resolve => setTimeout(resolve, 2 * MAX_SILENCE_MS));
  return {pendingAttempt};
}

/** Wraps a listener; `arrived` resolves when it receives its first request. */
function withArrivalSignal(listener: RequestListener) {
  let onArrived: () => void;
  const arrived = new Promise<void>(resolve => (onArrived = resolve));
  const notifying: RequestListener = (req, res) => {
    onArrived();
    listener(req, res);
  };
  return {arrived, listener: notifying};
}

const ANSWER_OK: RequestListener = (req, res) => {
  res.setHeader('x-server-state', 'serving');
  res.setHeader('x-load-in-flight', '2');
  res.end(req.url);
};

const CONTEXT_CODEC = new CallContextCodec('the secret of the test');

test('an answer is returned complete, with the load of its server', async t => {
  await using server = await LocalServer.http(ANSWER_OK);
  await using link = new HttpBackendLink(1_024, CONTEXT_CODEC);
  const attempt = await send(link, server.address);
  t.like(attempt, {
    kind: 'answered',
    answer: {status: 200},
    load: {inFlight: 2, state: ServerState.Serving},
  });
  if (attempt.kind === 'answered') {
    t.is(Buffer.from(attempt.answer.body).toString(), '/grid?day=1');
  }
  await send(link, server.address);
  t.is(server.connections, 1, 'the connection is reused');
});

test('shed requests, oversized answers, resets and refused connections are distinguished', async t => {
  await using link = new HttpBackendLink(4, CONTEXT_CODEC);
  await using shedding = await LocalServer.http((unused, res) => {
    res.writeHead(503, {'x-shed': '1'}).end();
  });
  t.is((await send(link, shedding.address)).kind, 'shed');
  await using large = await LocalServer.http((unused, res) => {
    res.end('more than four');
  });
  t.is((await send(link, large.address)).kind, 'too_large');
  await using resetting = await LocalServer.http(req => req.socket.destroy());
  t.is((await send(link, resetting.address)).kind, 'lost');
  const closedServer = await LocalServer.http(ANSWER_OK);
  await closedServer[Symbol.asyncDispose]();
  t.is((await send(link, closedServer.address)).kind, 'not_sent');
});

test('a sent request is abandoned when its caller leaves or its time runs out', async t => {
  await using link = new HttpBackendLink(1_024, CONTEXT_CODEC);
  const {arrived, listener} = withArrivalSignal(() => undefined);
  await using unresponsive = await LocalServer.http(listener);
  const caller = new AbortController();
  const left = send(link, unresponsive.address, 5_000, caller.signal);
  await arrived;
  const late = send(link, unresponsive.address, 1_000);
  caller.abort();
  t.like(await left, {kind: 'abandoned', cause: 'caller_left'});
  t.like(await late, {kind: 'abandoned', cause: 'deadline'});
});

test('no request is sent for a caller that has already left', async t => {
  let requests = 0;
  await using server = await LocalServer.http((req, res) => {
    requests += 1;
    ANSWER_OK(req, res);
  });
  await using link = new HttpBackendLink(1_024, CONTEXT_CODEC);
  const attempt = await send(link, server.address, 1, AbortSignal.abort());
  t.like(attempt, {kind: 'not_sent', abandoned: 'caller_left'});
  await send(link, server.address);
  t.is(requests, 1);
});

test('a silent connection is closed once its server answers on another one', async t => {
  const {arrived, listener} = withArrivalSignal(ANSWER_OK);
  await using server = await LocalServer.http(listener);
  await using proxy = await startLossyProxy(server.address);
  await using link = new HttpBackendLink(1_024, CONTEXT_CODEC);
  const {pendingAttempt} = await sendAndLoseAnswer(
    link,
    arrived,
    proxy.address,
  );
  // Silence alone does not close the connection: the server may be slow.
  t.is((await send(link, proxy.address)).kind, 'answered');
  t.like(await pendingAttempt, {kind: 'lost', silent: true});
});

test('a probe reads the load and also closes silent connections', async t => {
  const {arrived, listener} = withArrivalSignal((req, res) => {
    if (req.url === '/load') res.end('{"inFlight":1,"state":"draining"}');
    else ANSWER_OK(req, res);
  });
  await using server = await LocalServer.http(listener);
  await using proxy = await startLossyProxy(server.address);
  await using link = new HttpBackendLink(1_024, CONTEXT_CODEC);
  const {pendingAttempt} = await sendAndLoseAnswer(
    link,
    arrived,
    proxy.address,
  );
  const neverAborted = new AbortController().signal;
  t.deepEqual(await link.probe(proxy.address, neverAborted), {
    kind: 'answered',
    load: {inFlight: 1, state: ServerState.Draining},
  });
  t.like(await pendingAttempt, {kind: 'lost', silent: true});
  const aborted = await link.probe(proxy.address, AbortSignal.abort());
  t.is(aborted.kind, 'failed');
});

test('connections opened in advance are used by requests', async t => {
  await using server = await LocalServer.http(ANSWER_OK);
  await using link = new HttpBackendLink(1_024, CONTEXT_CODEC);
  link.warmUp(server.address, 3);
  while (server.connections < 3) {
    await new Promise(resolve => setImmediate(resolve));
  }
  const sends = Array.from({length: 3}, () => send(link, server.address));
  const attempts = await Promise.all(sends);
  t.deepEqual(
    attempts.map(attempt => attempt.kind),
    ['answered', 'answered', 'answered'],
  );
  t.is(server.connections, 3);
});

test('a load report without end fails the probe and is not kept', async t => {
  let sent = 0;
  await using server = await LocalServer.http((req, res) => {
    const report = ' '.repeat(4_096);
    res.on('error', () => undefined);
    const write = () => {
      while (!res.destroyed && sent < 64_000_000) {
        sent += report.length;
        if (!res.write(report)) return;
      }
      res.destroy();
    };
    res.on('drain', write);
    write();
  });
  await using link = new HttpBackendLink(1_024, CONTEXT_CODEC);
  const {signal} = new AbortController();
  const result = await link.probe(server.address, signal);
  t.is(result.kind, 'failed');
  t.true(sent < 16_000_000, `${sent} bytes`);
});

/** Memory of what is still in use on the heap, bytes. */
function heapUsed(): number {
  setFlagsFromString('--expose-gc');
  runInNewContext('gc')();
  return process.memoryUsage().heapUsed;
}

test('an answer in chunks of one byte takes the memory of its bytes', async t => {
  const bytes = 400_000;
  const block = Buffer.from('1\r\nx\r\n'.repeat(bytes));
  await using server = await LocalServer.start(
    createTcpServer(socket => {
      socket.on('error', () => undefined);
      socket.once('data', () => {
        socket.write('HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n');
        socket.write(block);
      });
    }),
  );
  await using link = new HttpBackendLink(2 * bytes, CONTEXT_CODEC);
  const before = heapUsed();
  const pending = send(link, server.address, 4_000);
  // The last chunk is missing: the answer is held until the time runs out.
  await new Promise(resolve => setTimeout(resolve, 3_000));
  const taken = heapUsed() - before;
  t.true(taken < 20 * bytes, `${taken} bytes`);
  await pending;
});
