/** A connection to a backend server that carries one request at a time. */
import {connect, isIPv4, type Socket} from 'node:net';
import {Client, type Dispatcher} from 'undici';
import type {AnswerCosts} from './answer_costs.js';
import {
  Exchange,
  type ExchangeLimits,
  type ExchangeResult,
  type HeadListener,
  LATE_UNSENT,
} from './exchange.js';

/** Idle time after which a connection is closed unless the server announces one, milliseconds. */
const IDLE_TIMEOUT_MS = 60_000;
/** How long before the server's own idle timeout a connection is closed, milliseconds. */
const IDLE_MARGIN_MS = 1_000;
const MAX_PORT = 65_535;
/**
 * Limit on heads and trailers in undici, bytes. Above the one of the exchange, which
 * ends the connection between two reads: undici goes on to parse what it has read,
 * and makes an error for each further field.
 */
const PARSER_HEADER_BYTES = 1_048_576;
const EMPTY_BUFFER = Buffer.alloc(0);
/** Detail of a request whose connection was not opened in time. */
export const CONNECT_TIMEOUT = 'connection timed out';

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
  /** Made when the connection is open: until then the address may be invalid. */
  private client: Client | undefined;
  private socket: Socket | undefined;
  private broken = false;
  /** Whether undici has the socket. */
  private taken = false;
  private current: Exchange | undefined;
  /** Bytes that the socket had read before the current exchange. */
  private bytesReadBefore = 0;

  constructor(
    readonly address: string,
    private readonly costs: AnswerCosts,
    private readonly openTimeoutMs: number,
  ) {}

  /** Whether an error has ended the connection. */
  get isBroken(): boolean {
    return this.broken;
  }

  /** Whether a request can be sent without opening the connection again. */
  get isOpen(): boolean {
    return this.socket !== undefined && !this.socket.destroyed && !this.broken;
  }

  /**
   * Sends one request. Never rejects.
   *
   * @param prepare Returns the request once the connection is open, since its
   *     headers state how much time is left.
   */
  async exchange(
    prepare: () => OutgoingRequest,
    {timeoutMs, maxBodyBytes}: ExchangeLimits,
    signal: AbortSignal,
    onHead: HeadListener = () => undefined,
  ): Promise<ExchangeResult> {
    const startedAt = performance.now();
    if (!this.isOpen) {
      const failure = await this.open(Math.min(this.openTimeoutMs, timeoutMs));
      if (failure !== undefined) return {kind: 'not_sent', detail: failure};
    }
    const leftMs = startedAt + timeoutMs - performance.now();
    if (leftMs <= 0) {
      return {kind: 'not_sent', detail: LATE_UNSENT};
    }
    const limits = {timeoutMs: leftMs, maxBodyBytes};
    const exchange = new Exchange(this, this.costs, limits, signal, onHead);
    this.current = exchange;
    this.bytesReadBefore = this.socket?.bytesRead ?? 0;
    const request = prepare();
    const options: Dispatcher.DispatchOptions = {
      method: request.method as Dispatcher.HttpMethod,
      path: request.target,
      headers: [...request.headers],
      body: request.body.byteLength > 0 ? request.body : null,
    };
    this.client ??= this.newClient();
    this.client.dispatch(options, exchange);
    const result = await exchange.ended;
    this.current = undefined;
    if (result.kind === 'message') this.lastAnswerAt = performance.now();
    return result;
  }

  [Symbol.dispose](): void {
    if (!this.taken) this.socket?.destroy();
    // Not awaited: all exchanges on the connection have ended.
    void this.client?.destroy().catch(() => undefined);
  }

  private newClient(): Client {
    const client = new Client(`http://${this.address}`, {
      pipelining: 1,
      maxHeaderSize: PARSER_HEADER_BYTES,
      headersTimeout: 0,
      bodyTimeout: 0,
      keepAliveTimeout: IDLE_TIMEOUT_MS,
      keepAliveMaxTimeout: IDLE_TIMEOUT_MS,
      keepAliveTimeoutThreshold: IDLE_MARGIN_MS,
      // Not synchronously: undici would not send a request that waits for it.
      connect: (unusedOptions, done) =>
        queueMicrotask(() => this.takeSocket(done)),
    });
    // Exchanges get the error themselves; without a listener the event would throw.
    client.on('connectionError', () => undefined);
    return client;
  }

  /** Opens the socket; resolves with what failed, if anything. */
  private open(timeoutMs: number): Promise<string | undefined> {
    const colon = this.address.lastIndexOf(':');
    const host = this.address.slice(0, colon);
    const port = Number(this.address.slice(colon + 1));
    const isPort = port >= 1 && port <= MAX_PORT;
    if (!isIPv4(host) || !isPort) {
      return Promise.resolve(`address ${this.address} is invalid`);
    }
    const socket = connect({host, port, noDelay: true});
    this.socket = socket;
    this.broken = false;
    socket.on('readable', () => {
      const {readableLength} = socket;
      const parsed = socket.bytesRead - readableLength - this.bytesReadBefore;
      this.current?.onBytesRead(parsed, readableLength, () => peek(socket));
    });
    // Registered before undici's own listener, which treats some resets as an end.
    socket.on('error', () => {
      if (this.socket === socket) this.broken = true;
    });
    // libuv reports a reset that directly follows data as an end and keeps the
    // socket's error; an empty write returns it.
    socket.once('end', () => {
      socket.write(EMPTY_BUFFER);
      if (socket.errored && this.socket === socket) this.broken = true;
    });
    const timeOut = () => {
      if (socket.connecting) socket.destroy(new Error(CONNECT_TIMEOUT));
    };
    return new Promise(resolve => {
      // After the process was paused, the result may be waiting: read it before the
      // timeout takes effect.
      const timer = setTimeout(() => setImmediate(timeOut), timeoutMs);
      socket.once('connect', () => resolve(undefined));
      socket.once('error', (err: NodeJS.ErrnoException) =>
        resolve(err.code ?? err.message),
      );
      socket.once('close', () => resolve('closed while connecting'));
      ['connect', 'close'].forEach(event =>
        socket.once(event, () => clearTimeout(timer)),
      );
    });
  }

  /** Hands the open socket to undici, which must not open another one. */
  private takeSocket(done: (...args: [null, Socket] | [Error, null]) => void) {
    const {socket} = this;
    if (socket && this.isOpen && !this.taken) {
      this.taken = true;
      done(null, socket);
    } else {
      done(new Error('the connection has been closed'), null);
    }
  }
}

/** Returns the bytes that a socket has read and nobody has taken. */
function peek(socket: Socket): Buffer {
  const bytes = (socket.read() as Buffer | null) ?? EMPTY_BUFFER;
  if (bytes.byteLength > 0) socket.unshift(bytes);
  return bytes;
}
