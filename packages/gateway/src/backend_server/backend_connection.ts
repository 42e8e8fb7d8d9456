/** One connection to a backend server, which carries one request at a time. */
import {connect, type Socket} from 'node:net';
import {Client, type Dispatcher} from 'undici';
import {Exchange, type ExchangeEnd} from './exchange.js';

/** Idle time after which a connection is closed unless the server names one, milliseconds. */
const KEEP_IDLE_MS = 60_000;
/** Time by which a connection is closed before the server closes it, milliseconds. */
const IDLE_MARGIN_MS = 1_000;
const NOTHING = Buffer.alloc(0);

/** A request as it is sent. */
export interface OutgoingRequest {
  readonly method: string;
  /** Path and query. */
  readonly target: string;
  /** Names and values in turn. */
  readonly headers: readonly string[];
  readonly body: Uint8Array;
}

/** A connection; it is opened by its first request. */
export class BackendConnection implements Disposable {
  /** Time of the last whole answer on the monotonic clock, milliseconds. */
  lastAnswerAt = -Infinity;
  private readonly client: Client;
  private socket: Socket | undefined;
  private broken = false;

  constructor(
    private readonly address: string,
    connectMs: number,
  ) {
    this.client = new Client(`http://${address}`, {
      pipelining: 1,
      headersTimeout: 0,
      bodyTimeout: 0,
      keepAliveTimeout: KEEP_IDLE_MS,
      keepAliveMaxTimeout: KEEP_IDLE_MS,
      keepAliveTimeoutThreshold: IDLE_MARGIN_MS,
      connect: (unusedOptions, done) => this.open(connectMs, done),
    });
    // Each exchange gets the error; this listener only keeps it from throwing.
    this.client.on('connectionError', () => undefined);
  }

  /** Whether an error has ended it. */
  get isBroken(): boolean {
    return this.broken;
  }

  /** Whether it can carry a request without being opened anew. */
  get isOpen(): boolean {
    return this.socket !== undefined && !this.socket.destroyed && !this.broken;
  }

  /** Sends one request. Never rejects. */
  async exchange(
    request: OutgoingRequest,
    timeoutMs: number,
    signal: AbortSignal,
  ): Promise<ExchangeEnd> {
    const exchange = new Exchange(this, timeoutMs, signal);
    const options: Dispatcher.DispatchOptions = {
      method: request.method as Dispatcher.HttpMethod,
      path: request.target,
      headers: [...request.headers],
      body: request.body.byteLength > 0 ? request.body : null,
    };
    this.client.dispatch(options, exchange);
    const end = await exchange.ended;
    if (end.kind === 'message') this.lastAnswerAt = performance.now();
    return end;
  }

  [Symbol.dispose](): void {
    // Nothing waits for it: what ran on it has ended.
    void this.client.destroy().catch(() => undefined);
  }

  private open(
    connectMs: number,
    done: (...args: [null, Socket] | [Error, null]) => void,
  ): void {
    const colon = this.address.lastIndexOf(':');
    const host = this.address.slice(0, colon);
    const port = Number(this.address.slice(colon + 1));
    const socket = connect({host, port, noDelay: true});
    let settled = false;
    const settle = (err: Error | null) => {
      clearTimeout(timer);
      if (settled) return;
      settled = true;
      if (err) done(err, null);
      else done(null, socket);
    };
    const timer = setTimeout(
      () => socket.destroy(new Error('connection timed out')),
      connectMs,
    );
    this.socket = socket;
    this.broken = false;
    // Comes before undici's own listener, which takes some resets for an end.
    socket.on('error', err => {
      if (this.socket === socket) this.broken = true;
      settle(err);
    });
    // libuv reports a reset right behind data as an end, and keeps the error of
    // the socket; an empty write returns it.
    socket.once('end', () => {
      socket.write(NOTHING);
      if (socket.errored && this.socket === socket) this.broken = true;
    });
    socket.once('connect', () => settle(null));
    socket.once('close', () => settle(new Error('closed while connecting')));
  }
}
