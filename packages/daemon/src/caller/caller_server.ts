/**
 * The callers' side over HTTP/1.1: address answers, and requests on their way
 * to a service. Reads and writes messages; every decision is the instance's.
 */
import type {Clock} from '@ragworthall/balancer';
import {Outcome} from '@ragworthall/contracts';
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from 'node:http';
import type {AddressInfo, Socket} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import {faultMessage, faultRefusal, writeRefusal} from './answer_writer.js';
import type {MetricSink} from '../metrics/metric.js';
import {BodyMemory} from './body.js';
import type {CallContextCodec} from './call_context.js';
import type {CallerLimits, CallHandler} from './caller_handler.js';
import {type CallerDesk, CallerLink} from './caller_link.js';
import {MemberConnections} from './member_connections.js';
import type {MemberAdmission} from './member_admission.js';
import {
  faultAnswer,
  faultOfParserError,
  MessageFault,
} from './message_fault.js';

export type * from './caller_handler.js';

/** What a server may be given besides its handler. */
export interface CallerServerOptions {
  /** Accounts for the members' shares; without it every call is admitted. */
  readonly admission?: MemberAdmission;
  /** Reads the context of nested calls; without it contexts are ignored. */
  readonly contextCodec?: CallContextCodec;
  readonly metrics?: MetricSink;
  readonly clock?: Clock;
  /** Longest wait for answers in flight on disposal, milliseconds. */
  readonly graceMs?: number;
}

/** Time between two checks for slow headers, milliseconds. */
const SLOW_CHECK_MS = 1_000;
/** Time for a refused connection to take its refusal, milliseconds. */
const REFUSAL_MS = 500;
/** Connections over the limit that may be told so at the same time. */
const REFUSED_CONNECTIONS = 100;
/** Time for the last connections to close by themselves, milliseconds. */
const CLOSE_MS = 200;
const DEFAULT_GRACE_MS = 30_000;

/** Serves callers on one address. */
export class CallerServer implements AsyncDisposable {
  private readonly server: Server;
  private readonly links = new Map<Socket, CallerLink>();
  private readonly desk: CallerDesk & {closing: boolean};
  private readonly graceMs: number;

  constructor(
    handler: CallHandler,
    private readonly limits: CallerLimits,
    options: CallerServerOptions = {},
  ) {
    this.graceMs = options.graceMs ?? DEFAULT_GRACE_MS;
    this.desk = {
      handler,
      limits,
      clock: options.clock ?? performance,
      bodyMemory: new BodyMemory(limits.bodyMemoryBytes),
      connections: new MemberConnections(limits.connections, limits.shares),
      gate: options.admission,
      contexts: options.contextCodec,
      metrics: options.metrics,
      closing: false,
    };
    this.server = this.createServer();
  }

  /** Number of open connections. */
  get connections(): number {
    return this.links.size;
  }

  /** Bytes of bodies in memory. */
  get bodyBytes(): number {
    return this.desk.bodyMemory.usedBytes;
  }

  /** Starts to listen; resolves with the bound address. */
  listen(port: number, host: string): Promise<AddressInfo> {
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, host, () => {
        resolve(this.server.address() as AddressInfo);
      });
    });
  }

  /**
   * Lets the connections run out: from now on each answer ends its connection.
   * Callers that come with an old address answer are still served.
   */
  stopAccepting(): void {
    this.desk.closing = true;
  }

  /** Waits for the answers in flight, and closes all connections. */
  async [Symbol.asyncDispose](): Promise<void> {
    this.stopAccepting();
    const closed = new Promise<void>(resolve => {
      // Closes the idle connections too.
      this.server.close(() => resolve());
    });
    const bound = new AbortController();
    await Promise.race([
      Promise.all([...this.links.values()].map(link => link.idled())),
      delay(this.graceMs, undefined, {signal: bound.signal}).catch(() => {}),
    ]);
    bound.abort();
    // A request whose headers are still on their way gets a last chance.
    await Promise.race([closed, delay(CLOSE_MS)]);
    this.server.closeAllConnections();
    await closed;
  }

  private createServer(): Server {
    const {limits} = this;
    const server = createServer({
      maxHeaderSize: limits.headerBytes,
      headersTimeout: limits.headersMs,
      // The time for a body is the link's business.
      requestTimeout: 0,
      connectionsCheckingInterval: Math.min(SLOW_CHECK_MS, limits.headersMs),
      keepAliveTimeout: limits.keepAliveMs,
      requireHostHeader: true,
      insecureHTTPParser: false,
      noDelay: true,
    });
    // Headers over a count would be dropped in silence; bytes are the limit.
    server.maxHeadersCount = 0;
    server.maxConnections = limits.connections + REFUSED_CONNECTIONS;
    server
      .on('connection', socket => this.open(socket))
      .on('request', (req, res) => this.receive(req, res, false))
      .on('checkContinue', (req, res) => this.receive(req, res, true))
      .on('checkExpectation', (req, res) => refuseExpectation(req, res))
      .on('clientError', (err: NodeJS.ErrnoException, socket) =>
        this.fail(err, socket as Socket),
      );
    return server;
  }

  private open(socket: Socket): void {
    if (this.links.size >= this.limits.connections) {
      refuseConnection(socket);
      return;
    }
    const link = new CallerLink(socket, this.desk);
    this.links.set(socket, link);
    socket.once('close', () => this.links.delete(socket));
    void link.run();
  }

  private receive(
    req: IncomingMessage,
    res: ServerResponse,
    expectsContinue: boolean,
  ): void {
    this.links.get(req.socket)?.receive(req, res, expectsContinue);
  }

  private fail(err: NodeJS.ErrnoException, socket: Socket): void {
    const link = this.links.get(socket);
    if (!link || err.code === 'ECONNRESET') socket.destroy();
    else link.fail(faultOfParserError(err.code));
  }
}

function refuseConnection(socket: Socket): void {
  socket.on('error', () => undefined);
  socket.end(faultMessage(MessageFault.ConnectionsExhausted));
  setTimeout(() => socket.destroy(), REFUSAL_MS).unref();
}

function refuseExpectation(req: IncomingMessage, res: ServerResponse): void {
  res.setHeader('connection', 'close');
  const fault = MessageFault.ExpectationUnsupported;
  const {status} = faultAnswer(fault);
  writeRefusal(res, status, faultRefusal(fault, Outcome.NotRun));
}
