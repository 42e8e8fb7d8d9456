/** A callers' side on a free port, and raw messages to it, for tests. */
import {type CallResult, refusedOutcomeUnknown} from '@ragworthall/balancer';
import {once} from 'node:events';
import {connect} from 'node:net';
import type {
  CallerLimits,
  CallerRequest,
  CallHandler,
} from './caller_handler.js';
import {CallerServer, type CallerServerOptions} from './caller_server.js';

/** Small limits, so that they are soon reached. */
export const LIMITS: CallerLimits = {
  connections: 10,
  headerBytes: 2_048,
  bodyBytes: 1_024,
  bodyMemoryBytes: 2_048,
  headersMs: 300,
  bodyMs: 300,
  answerMs: 2_000,
  keepAliveMs: 5_000,
  shares: [],
};

/** Headers of the backend server's answer; only `x-kept` may pass. */
export const ANSWER_HEADERS = [
  ['content-length', '99'],
  ['connection', 'x-hop'],
  ['x-hop', '1'],
  ['x-load-in-flight', '3'],
  ['x-server-state', 'serving'],
  ['x-request-rank', '1'],
  ['x-outcome', 'not-run'],
  ['x-kept', 'yes'],
].flat();

/** How a call is answered. */
export type Serve = (req: CallerRequest) => CallResult | Promise<CallResult>;

/** Answers with the body of the request. */
export const echo: Serve = req => answer(200, req.body);

/** Returns a whole answer. */
export function answer(status: number, body: Uint8Array): CallResult {
  const answered = {status, headers: ANSWER_HEADERS, body};
  return {kind: 'answered', answer: answered, replayed: false};
}

/** A server whose calls are answered by `serve`. */
export async function start(
  serve: Serve,
  limits: Partial<CallerLimits> = {},
  options: CallerServerOptions = {},
) {
  const calls: CallerRequest[] = [];
  const handler: CallHandler = {
    addresses: () => undefined,
    refuse: async (req, refused) =>
      req.key === 'ran' ? refusedOutcomeUnknown(refused.reason) : refused,
    handle: async req => {
      calls.push(req);
      return {...(await serve(req)), requestId: `id-${calls.length}`};
    },
  };
  const server = new CallerServer(handler, {...LIMITS, ...limits}, options);
  const {port} = await server.listen(0, '127.0.0.1');
  const url = `http://127.0.0.1:${port}`;
  return {
    server,
    port,
    url,
    calls,
    [Symbol.asyncDispose]: () => server[Symbol.asyncDispose](),
  };
}

/** Sends bytes and returns all that comes until the server closes. */
export async function exchange(port: number, text: string): Promise<string> {
  const socket = connect(port, '127.0.0.1');
  let received = '';
  socket.on('error', () => undefined);
  socket.on('data', chunk => (received += chunk.toString('latin1')));
  socket.write(Buffer.from(text, 'latin1'));
  await once(socket, 'close');
  return received;
}

/** A request with the head lines given. */
export function message(
  requestLine: string,
  headers: string[],
  body = '',
): string {
  return [requestLine, 'Host: a', ...headers, '', body].join('\r\n');
}

/** First line of a read. */
export const GET = 'GET /s/m/s/x HTTP/1.1';
/** First line of a write. */
export const POST = 'POST /s/m/s/x HTTP/1.1';
/** Header of the last request on a connection. */
export const LAST = 'Connection: close';

/** Returns a promise and what resolves it. */
export function resolvers() {
  let resolve!: () => void;
  const promise = new Promise<void>(done => (resolve = done));
  return {promise, resolve};
}
