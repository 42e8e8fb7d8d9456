/** A connection to a backend server that carries one request at a time. */
import {connect, type Socket} from 'node:net';
import {Client, type Dispatcher} from 'undici';
import {Exchange, type ExchangeResult} from './exchange.js';

/** Idle time after which a connection is closed unless the server announces one, milliseconds. */
const IDLE_TIMEOUT_MS = 60_000;
/** How long before the server's own idle timeout a connection is closed, milliseconds. */
const IDLE_MARGIN_MS = 1_000;
const EMPTY_BUFFER = Buffer.alloc(0);

/** A request as it is sent to a backend server. */
export interface OutgoingRequest {
  readonly method: string;
  /** Path and query. */
  readonly target: string;
  /** Alternating names and values. */
  readonly headers: readonly string[];
  readonly body: Uint8Array;
}

/** A connection that is opened by its first request. */
export class BackendConnection implements Disposable {
  /** Time of the last complete answer on the monotonic clock, milliseconds. */
  lastAnswerAt = -Infinity;
  private readonly client: Client;
  private socket: Socket | undefined;
  private broken = false;

  constructor(
    private readonly address: string,
    connectTimeoutMs: number,
  ) {
    this.client = new Client(`http://${address}`, {
      pipelining: 1,
      headersTimeout: 0,
      bodyTimeout: 0,
      keepAliveTimeout: IDLE_TIMEOUT_MS,
      keepAliveMaxTimeout: IDLE_TIMEOUT_MS,
      keepAliveTimeoutThreshold: IDLE_MARGIN_MS,
      connect: (unusedOptions, done) => this.connect(connectTimeoutMs, done),
    });
    // Exchanges get the error themselves; without a listener the event would throw.
    this.client.on('connectionError', () => undefined);
  }

  /** Whether an error has ended the connection. */
  get isBroken(): boolean {
    return this.broken;
  }

  /** Whether a request can be sent without opening the connection again. */
  get isOpen(): boolean {
    return this.socket !== undefined && !this.socket.destroyed && !this.broken;
  }

  /** Sends one request. Never rejects. */
  async exchange(
    request: OutgoingRequest,
    timeoutMs: number,
    signal: AbortSignal,
  ): Promise<ExchangeResult> {
    const exchange = new Exchange(this, timeoutMs, signal);
    const options: Dispatcher.DispatchOptions = {
      method: request.method as Dispatcher.HttpMethod,
      path: request.target,
      headers: [...request.headers],
      body: request.body.byteLength > 0 ? request.body : null,
    };
    this.client.dispatch(options, exchange);
    const result = await exchange.ended;
    if (result.kind === 'message') this.lastAnswerAt = performance.now();
    return result;
  }

  [Symbol.dispose](): void {
    // Not awaited: all exchanges on the connection have ended.
    void this.client.destroy().catch(() => undefined);
  }

  private connect(
    connectTimeoutMs: number,
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
      connectTimeoutMs,
    );
    this.socket = socket;
    this.broken = false;
    // Registered before undici's own listener, which treats some resets as an end.
    socket.on('error', err => {
      if (this.socket === socket) this.broken = true;
      settle(err);
    });
    // libuv reports a reset that directly follows data as an end and keeps the
    // socket's error; an empty write returns it.
    socket.once('end', () => {
      socket.write(EMPTY_BUFFER);
      if (socket.errored && this.socket === socket) this.broken = true;
    });
    socket.once('connect', () => settle(null));
    socket.once('close', () => settle(new Error('closed while connecting')));
  }
}
