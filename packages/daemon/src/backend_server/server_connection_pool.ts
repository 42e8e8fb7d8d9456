/**
 * Connection pool for one backend server. Each connection carries one request
 * at a time. A connection that receives no data while the server answers on
 * others is closed, and a new one is opened when it is needed.
 */
import type {Attempt} from '@ragworthall/balancer';
import {Client, type Dispatcher} from 'undici';
import {Exchange, type ExchangeOptions} from './exchange.js';
import {BodyBuffer} from '../message/body_buffer.js';
import {WarmSockets} from './warm_sockets.js';

/** Idle time after which a connection is closed, milliseconds. */
const IDLE_TIMEOUT_MS = 30_000;
/** Largest answer to a request of our own, bytes; a faulty server's may not end. */
const MAX_JSON_BYTES = 16_384;
/** Maximum number of idle connections that are kept open. */
const MAX_IDLE_CONNECTIONS = 64;

/** An exchange in progress, with the client that carries it. */
interface ActiveExchange {
  readonly exchange: Exchange;
  readonly client: Client;
}

/** Pool of persistent connections to one address. */
export class ServerConnectionPool implements AsyncDisposable {
  /** Sockets opened in advance. */
  readonly warmSockets: WarmSockets;
  // Last in, first out: the most recently used client is the least likely to
  // have lost its connection.
  private readonly idleClients: Client[] = [];
  /** In the order of their start times. */
  private readonly activeExchanges = new Set<ActiveExchange>();
  private readonly origin: string;

  constructor(address: string) {
    this.origin = `http://${address}`;
    this.warmSockets = new WarmSockets(address);
  }

  /** Number of connections that are in use or ready for a request. */
  get count(): number {
    return (
      this.idleClients.length +
      this.activeExchanges.size +
      this.warmSockets.count
    );
  }

  /** Sends one request. Never rejects. */
  async send(
    request: Dispatcher.DispatchOptions,
    options: ExchangeOptions,
  ): Promise<Attempt> {
    const exchange = new Exchange(options);
    const client = this.idleClients.pop() ?? this.createClient();
    const active = {exchange, client};
    this.activeExchanges.add(active);
    client.dispatch(request, exchange);
    const attempt = await exchange.attempt;
    this.activeExchanges.delete(active);
    this.releaseClient(active, attempt);
    return attempt;
  }

  /** Sends a request with a small JSON answer, on a free connection. */
  async request(
    options: Omit<Dispatcher.RequestOptions, 'origin'>,
  ): Promise<{status: number; body: unknown}> {
    const startedAt = performance.now();
    const client = this.idleClients.pop() ?? this.createClient();
    try {
      const res = await client.request(options);
      const body = await readJson(res.body as AsyncIterable<Buffer>);
      this.keepIdle(client);
      this.closeSilentExchanges(startedAt, performance.now());
      return {status: res.statusCode, body};
    } catch (err) {
      // The connection itself may be dead, so the next request must not use it.
      void client.destroy();
      throw err;
    }
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.warmSockets[Symbol.dispose]();
    const clients = [
      ...this.idleClients,
      ...[...this.activeExchanges].map(active => active.client),
    ];
    await Promise.all(clients.map(client => client.close()));
  }

  private createClient(): Client {
    return new Client(this.origin, {
      pipelining: 1,
      headersTimeout: 0,
      bodyTimeout: 0,
      keepAliveTimeout: IDLE_TIMEOUT_MS,
      connect: this.warmSockets.connector,
    });
  }

  private releaseClient(
    {client, exchange}: ActiveExchange,
    attempt: Attempt,
  ): void {
    switch (attempt.kind) {
      case 'answered':
      case 'shed':
        this.keepIdle(client);
        this.closeSilentExchanges(exchange.startedAt, performance.now());
        return;
      case 'not_sent':
      case 'lost':
      case 'too_large':
      case 'abandoned':
        void client.destroy();
        return;
      default:
        attempt satisfies never;
    }
  }

  /**
   * Closes the connections that have received no data for too long, given that
   * the server answered a request started at `answeredStartedAt`. Only
   * exchanges started before it are checked: without an answer to a later
   * request on another connection, the server itself may be slow.
   */
  private closeSilentExchanges(answeredStartedAt: number, now: number): void {
    for (const {exchange} of this.activeExchanges) {
      if (exchange.startedAt >= answeredStartedAt) return;
      if (exchange.isSilent(now)) exchange.closeSilent();
    }
  }

  private keepIdle(client: Client): void {
    if (client.destroyed || client.closed) return;
    if (this.idleClients.length < MAX_IDLE_CONNECTIONS)
      this.idleClients.push(client);
    else void client.close();
  }
}

/** Reads a small JSON body; rejects if it is too large or malformed. */
async function readJson(chunks: AsyncIterable<Buffer>): Promise<unknown> {
  const body = new BodyBuffer();
  for await (const chunk of chunks) {
    body.append(chunk);
    if (body.byteLength > MAX_JSON_BYTES) {
      throw new Error(`the answer exceeds ${MAX_JSON_BYTES} bytes`);
    }
  }
  return JSON.parse(body.join().toString()) as unknown;
}
