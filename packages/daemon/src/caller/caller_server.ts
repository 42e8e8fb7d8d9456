/**
 * HTTP/1.1 server for callers: answers address queries and accepts requests for
 * services. It only parses and writes messages; all decisions are made by its
 * {@link CallHandler}.
 */
import type {Clock} from '@ragworthall/balancer';
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from 'node:http';
import {type AddressInfo, Server as NetServer, type Socket} from 'node:net';
import {encodeFaultAnswer} from './answer_writer.js';
import type {MetricSink} from '../metrics/metric.js';
import {BodyMemory} from './body.js';
import type {CallContextCodec} from './call_context.js';
import type {CallerLimits, CallHandler} from './caller_handler.js';
import {CallerConnection} from './caller_connection.js';
import type {CallerServerContext} from './caller_server_context.js';
import {keepAfterConnect} from './connect_request.js';
import {closeLingering, lingerAfterLastAnswer} from './lingering_close.js';
import {MemberConnections} from './member_connections.js';
import type {MemberAdmission} from './member_admission.js';
import {
  faultOfParserError,
  MessageFault,
  TRUNCATED_CODE,
} from './message_fault.js';
import {settlesWithin} from '../instance/settles_within.js';

export type * from './caller_handler.js';

/** Optional settings and dependencies of a {@link CallerServer}. */
export interface CallerServerOptions {
  /** Enforces the members' shares; without it every call is admitted. */
  readonly admission?: MemberAdmission;
  /** Decodes the context of nested calls; without it contexts are ignored. */
  readonly contextCodec?: CallContextCodec;
  readonly metrics?: MetricSink;
  readonly clock?: Clock;
  /** Maximum wait for answers in flight on disposal, milliseconds. */
  readonly graceMs?: number;
}

/** How the connections ended when the server was closed. */
export interface ClosingReport {
  /** Requests that were refused since no time was left for their answers. */
  readonly refused: number;
  /** Connections that were closed with unsent bytes of answers. */
  readonly cut: number;
}

/** Interval of the checks for headers that arrive too slowly, milliseconds. */
const HEADERS_CHECK_INTERVAL_MS = 1_000;
/**
 * Connections over the limit that can be open at the same time while they are
 * sent a refusal; any further ones are dropped without an answer.
 */
const MAX_REFUSED_CONNECTIONS = 100;
/**
 * Time for callers to read what has been written by the end of the grace time,
 * milliseconds.
 */
const LAST_ANSWERS_MS = 2_000;
/** Default of {@link CallerServerOptions.graceMs}. */
const DEFAULT_GRACE_MS = 30_000;

/** Serves the callers' connections on one address. */
export class CallerServer implements AsyncDisposable {
  private readonly server: Server;
  private readonly openConnections = new Map<Socket, CallerConnection>();
  private readonly context: CallerServerContext & {
    closing: boolean;
    isOver: boolean;
  };
  private readonly graceMs: number;
  private closing: Promise<ClosingReport> | undefined;

  constructor(
    handler: CallHandler,
    private readonly limits: CallerLimits,
    options: CallerServerOptions = {},
  ) {
    this.graceMs = options.graceMs ?? DEFAULT_GRACE_MS;
    this.context = {
      handler,
      limits,
      clock: options.clock ?? performance,
      bodyMemory: new BodyMemory(limits.bodyMemoryBytes),
      connections: new MemberConnections(limits.connections, limits.shares),
      admission: options.admission,
      contextCodec: options.contextCodec,
      metrics: options.metrics,
      closing: false,
      isOver: false,
    };
    this.server = this.createServer();
  }

  /** Number of open connections. */
  get connections(): number {
    return this.openConnections.size;
  }

  /** Memory reserved for request bodies, bytes. */
  get bodyBytes(): number {
    return this.context.bodyMemory.usedBytes;
  }

  /** Starts listening; resolves with the bound address. */
  listen(port: number, host: string): Promise<AddressInfo> {
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, host, () => {
        resolve(this.server.address() as AddressInfo);
      });
    });
  }

  /**
   * Drains the connections: from now on each one is closed after its next
   * answer. New connections are still served, for callers with an outdated list
   * of addresses.
   */
  startDraining(): void {
    this.context.closing = true;
  }

  /**
   * Closes each connection once its requests are answered and its caller has read
   * the answers. At the end of the grace time the requests that are left are
   * refused, so that all answers can be written.
   */
  close(): Promise<ClosingReport> {
    this.closing ??= this.closeConnections();
    return this.closing;
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.close();
  }

  private async closeConnections(): Promise<ClosingReport> {
    const {server, openConnections} = this;
    this.startDraining();
    const closed = new Promise<void>(resolve => {
      // `close` of an HTTP server destroys connections with unsent answers.
      NetServer.prototype.close.call(server, () => resolve());
    });
    openConnections.forEach(connection => connection.closeIdle());
    await settlesWithin(closed, this.graceMs);
    const refused = this.refuseRest();
    await settlesWithin(closed, LAST_ANSWERS_MS);
    const sockets = [...openConnections.keys()];
    const cut = sockets.filter(socket => socket.writableLength > 0).length;
    sockets.forEach(socket => socket.destroy());
    server.closeAllConnections();
    await closed;
    // Ends the checks of the time for heads.
    server.close();
    return {refused, cut};
  }

  /** Refuses the requests without an answer; returns their number. */
  private refuseRest(): number {
    const {context, openConnections} = this;
    const refused = [...openConnections.values()]
      .map(connection => connection.unanswered)
      .reduce((a, b) => a + b, 0);
    context.isOver = true;
    if (refused > 0) context.handler.end();
    openConnections.forEach(connection => connection.endAfterCurrent());
    return refused;
  }

  private createServer(): Server {
    const {limits} = this;
    const server = createServer({
      maxHeaderSize: limits.headerBytes,
      headersTimeout: limits.headersMs,
      // The connection limits the time for a body itself.
      requestTimeout: 0,
      connectionsCheckingInterval: Math.min(
        HEADERS_CHECK_INTERVAL_MS,
        limits.headersMs,
      ),
      keepAliveTimeout: limits.keepAliveMs,
      // Node.js would close the connection under requests behind the faulty one.
      requireHostHeader: false,
      insecureHTTPParser: false,
      noDelay: true,
    });
    // No limit on the number of headers: Node would drop the excess ones
    // silently. `maxHeaderSize` limits them by size.
    server.maxHeadersCount = 0;
    server.maxConnections = limits.connections + MAX_REFUSED_CONNECTIONS;
    server
      .on('connection', socket => this.open(socket))
      .on('request', (req, res) => this.receive(req, res, false))
      .on('checkContinue', (req, res) => this.receive(req, res, true))
      .on('checkExpectation', (req, res) => this.receive(req, res, true))
      .on('connect', (req, socket) => this.refuseTunnel(socket as Socket))
      // Without a listener Node.js destroys connections that have been idle.
      .on('timeout', socket => this.handleSilence(socket))
      .on('clientError', (err: NodeJS.ErrnoException, socket) =>
        this.fail(err, socket as Socket),
      );
    return server;
  }

  private open(socket: Socket): void {
    if (this.openConnections.size >= this.limits.connections) {
      refuseConnection(socket);
      return;
    }
    lingerAfterLastAnswer(socket);
    const connection = new CallerConnection(socket, this.context);
    this.openConnections.set(socket, connection);
    socket.once('close', () => this.openConnections.delete(socket));
    void connection.run();
  }

  private handleSilence(socket: Socket): void {
    const connection = this.openConnections.get(socket);
    if (connection) connection.handleSilence();
    else socket.destroy();
  }

  private receive(
    req: IncomingMessage,
    res: ServerResponse,
    expectsContinue: boolean,
  ): void {
    this.openConnections.get(req.socket)?.receive(req, res, expectsContinue);
  }

  private refuseTunnel(socket: Socket): void {
    keepAfterConnect(this.server, socket);
    this.openConnections.get(socket)?.fail(MessageFault.TargetMalformed);
  }

  private fail(err: NodeJS.ErrnoException, socket: Socket): void {
    const connection = this.openConnections.get(socket);
    if (!connection || err.code === 'ECONNRESET') {
      socket.destroy();
      return;
    }
    // The caller has left, though Node.js reports what it did not send.
    if (err.code === TRUNCATED_CODE && !connection.idle) {
      socket.end();
      return;
    }
    const fault = faultOfParserError(err.code);
    if (fault === MessageFault.RequestTooSlow) void connection.failLate(fault);
    else connection.fail(fault);
  }
}

function refuseConnection(socket: Socket): void {
  socket.on('error', () => undefined);
  closeLingering(socket, encodeFaultAnswer(MessageFault.ConnectionsExhausted));
}
