/** Test helpers: a caller server on a free port, and raw messages to it. */
import {type CallResult, refusedOutcomeUnknown} from '@ragworthall/balancer';
import {once} from 'node:events';
import {connect} from 'node:net';
import type {
  CallerLimits,
  CallerRequest,
  CallHandler,
} from './caller_handler.js';
import {CallerServer, type CallerServerOptions} from './caller_server.js';

/** Small limits that tests can easily reach. */
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

/** Headers of a backend server's answer; only `x-kept` must be forwarded. */
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

/** Produces the result of a call. */
export type RequestResponder = (
  req: CallerRequest,
) => CallResult | Promise<CallResult>;

/** Answers with the request's body. */
export const echo: RequestResponder = req => answer(200, req.body);

/** Returns a result with a complete answer. */
export function answer(status: number, body: Uint8Array): CallResult {
  const fullAnswer = {status, headers: ANSWER_HEADERS, body};
  return {kind: 'answered', answer: fullAnswer, replayed: false};
}

/** Starts a server whose calls are answered by `serve`. */
export async function startServer(
  serve: RequestResponder,
  limits: Partial<CallerLimits> = {},
  options: CallerServerOptions = {},
) {
  const calls: CallerRequest[] = [];
  const handler: CallHandler = {
    addresses: () => undefined,
    end: () => undefined,
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

/** Sends raw bytes and returns all received data once the server has closed. */
export async function sendRaw(port: number, text: string): Promise<string> {
  const socket = connect(port, '127.0.0.1');
  let received = '';
  socket.on('error', () => undefined);
  socket.on('data', chunk => (received += chunk.toString('latin1')));
  socket.write(Buffer.from(text, 'latin1'));
  await once(socket, 'close');
  return received;
}

/** Returns a request with the given request line and headers. */
export function rawMessage(
  requestLine: string,
  headers: string[],
  body = '',
): string {
  return [requestLine, 'Host: a', ...headers, '', body].join('\r\n');
}

/** Request line of a `GET`. */
export const GET_LINE = 'GET /s/m/s/x HTTP/1.1';
/** Request line of a `POST`. */
export const POST_LINE = 'POST /s/m/s/x HTTP/1.1';
/** Header that closes the connection after the request. */
export const CONNECTION_CLOSE = 'Connection: close';

/** Returns a promise and the function that resolves it. */
export function createDeferred() {
  let resolve!: () => void;
  const promise = new Promise<void>(done => (resolve = done));
  return {promise, resolve};
}
