/** HTTP/1.1 server for callers: parses requests and writes answers. */
import {
  areValidFields,
  keepAfterConnect,
  SLOWEST_READER,
  stallLimitMs,
  TRUNCATED_CODE,
} from '@ragworthall/daemon';
import type {CallerRequestLimits, Clock} from '@ragworthall/balancer';
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from 'node:http';
import {Server as NetServer, type Socket} from 'node:net';
import type {WireFormat} from '../platform/wire_format.js';
import {
  type CallerRequest,
  Failure,
  type RequestEnd,
} from '../request/caller_request.js';
import {writeEnd} from './answer_writer.js';
import {readBody} from './body.js';
import {type BodyAccount, BodyMemory} from './body_memory.js';
import {
  CallerConnection,
  type ConnectionCut,
  ServingPhase,
} from './caller_connection.js';
import {callerRequestOf} from './caller_request_parser.js';
import {Expectation, expectationOf} from './expectation.js';
import {
  Rejection,
  rejectionOfError,
  retryAfterOf,
  statusOf,
} from './rejection.js';
import {ShortChunkPace} from './short_chunk_pace.js';
import {UnreadAnswers} from './unread_answers.js';

/** Limits in force until a configuration sets them. */
const DEFAULT_LIMITS: CallerRequestLimits = {
  headerBytes: 65_536,
  bodyBytes: 67_108_864,
  headersMs: 10_000,
  idleMs: 60_000,
};
/** Longest time for a body to arrive, milliseconds; one may come without end. */
const BODY_TIMEOUT_MS = 60_000;
/** Interval at which the time for heads is checked, milliseconds. */
const TIMEOUT_CHECK_MS = 1_000;
/** Handles a request and resolves with its end. */
export type RequestHandler = (request: CallerRequest) => Promise<RequestEnd>;

/** Receives what the server notices on its connections. */
export interface CallerServerEvents {
  /** An error ended the task of one request. */
  onError(err: unknown): void;
  /** This instance closed a connection that still held something. */
  onCut(caller: string, cut: ConnectionCut): void;
  /** A message of a caller was rejected. */
  onRejected(caller: string, rejection: Rejection): void;
}

/** Memory for what is held for callers, bytes. */
export interface CallerMemory {
  /** Bodies of requests. */
  readonly bodyBytes: number;
  /** Answers that they have not read; see {@link UnreadAnswers}. */
  readonly unreadAnswerBytes: number;
}

/** Serves callers on one address. */
export class CallerServer {
  private readonly server: Server;
  private readonly connections = new Map<Socket, CallerConnection>();
  private readonly bodyMemory: BodyMemory;
  private readonly unreadAnswers: UnreadAnswers;
  private readonly pace = new ShortChunkPace();
  /** Requests that have been received and not answered. */
  private readonly unanswered = new Map<ServerResponse, CallerRequest>();
  private limits = DEFAULT_LIMITS;
  private phase: ServingPhase = ServingPhase.Serving;

  constructor(
    private readonly handler: RequestHandler,
    private readonly wire: WireFormat,
    private readonly clock: Clock,
    private readonly events: CallerServerEvents,
    memory: CallerMemory,
    private readonly slowestReader = SLOWEST_READER,
  ) {
    this.bodyMemory = new BodyMemory(memory.bodyBytes);
    this.unreadAnswers = new UnreadAnswers(memory.unreadAnswerBytes);
    this.server = createServer({
      maxHeaderSize: DEFAULT_LIMITS.headerBytes,
      headersTimeout: DEFAULT_LIMITS.headersMs,
      // The time for a body is limited where it is read.
      requestTimeout: 0,
      // Node.js would close the connection under requests behind the faulty one.
      requireHostHeader: false,
      connectionsCheckingInterval: TIMEOUT_CHECK_MS,
      keepAliveTimeout: DEFAULT_LIMITS.idleMs,
      noDelay: true,
    });
    this.server.maxHeadersCount = 0;
    const serve = (req: IncomingMessage, res: ServerResponse) =>
      void this.serve(req, res).catch(err => this.fail(res, err));
    this.server
      .on('connection', socket => this.accept(socket))
      .on('request', serve)
      // Node.js would answer them at once, also those that are not served.
      .on('checkContinue', serve)
      .on('checkExpectation', serve)
      .on('connect', (req, socket) => this.rejectTunnel(socket as Socket))
      // Without a listener Node.js destroys the socket.
      .on('timeout', socket => this.connections.get(socket)?.closeTimedOut())
      .on('clientError', (err: NodeJS.ErrnoException, socket) =>
        this.reject(err, socket as Socket),
      );
  }

  /** Number of requests whose answers have not been written. */
  get inFlight(): number {
    return [...this.connections.values()].reduce(
      (sum, connection) => sum + connection.inFlight,
      0,
    );
  }

  /** What is lost if the process ends now. */
  get cut(): ConnectionCut {
    const cuts = [...this.connections.values()].map(({cut}) => cut);
    return {
      unanswered: cuts.reduce((sum, cut) => sum + cut.unanswered, 0),
      unsent: cuts.reduce((sum, cut) => sum + cut.unsent, 0),
    };
  }

  /** Number of open connections. */
  get connectionCount(): number {
    return this.connections.size;
  }

  /** Starts to listen; rejects if the address is in use. */
  async listen(port: number, host: string): Promise<void> {
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, host, () => resolve());
    });
  }

  /** Applies the limits of a changed configuration. */
  applyLimits(limits: CallerRequestLimits): void {
    this.limits = limits;
    this.server.headersTimeout = limits.headersMs;
    this.server.keepAliveTimeout = limits.idleMs;
  }

  /** From now on, closes each connection after its requests in flight. */
  startClosing(): void {
    this.phase = ServingPhase.Closing;
    this.connections.forEach(connection => connection.checkTurn());
  }

  /**
   * Refuses new connections and closes the idle ones. Resolves when all connections
   * are closed: their callers have read the last answers.
   */
  async stopListening(): Promise<void> {
    this.phase = ServingPhase.Closed;
    const closed = new Promise<void>(resolve =>
      // The method of the HTTP server would also destroy connections whose last
      // answer is still being sent.
      NetServer.prototype.close.call(this.server, () => resolve()),
    );
    this.connections.forEach(connection => connection.closeIdle());
    await closed;
    // Ends the checks of the time for heads.
    this.server.close();
  }

  /**
   * Answers the requests in flight as interrupted, since answers behind them wait
   * for their turn, and ends all connections. Returns the number of requests whose
   * callers have not left.
   */
  interruptRequests(): number {
    const interrupted = [...this.unanswered].filter(
      ([res]) => !res.req.socket.destroyed,
    );
    this.connections.forEach(connection => connection.endAfterReceived());
    interrupted.forEach(([res, request]) =>
      this.reply(res, request, {kind: 'unknown', reason: Failure.Stopping}),
    );
    return interrupted.length;
  }

  private accept(socket: Socket): void {
    const {remoteAddress: caller = ''} = socket;
    const connection = new CallerConnection(
      socket,
      () => this.phase,
      rejection => this.events.onRejected(caller, rejection),
      this.unreadAnswers.open(caller, () => socket.destroy()),
    );
    this.connections.set(socket, connection);
    socket.once('close', () => {
      this.connections.delete(socket);
      const {cut} = connection;
      const isByCaller = socket.readableEnded || socket.errored;
      const isEmpty = cut.unanswered + cut.unsent === 0;
      if (!isByCaller && !isEmpty) this.events.onCut(caller, cut);
    });
  }

  private async serve(
    req: IncomingMessage,
    res: ServerResponse,
  ): Promise<void> {
    // Writing to a caller that has disconnected fails; there is nothing to do.
    res.on('error', () => undefined);
    const arrivedAt = this.clock.now();
    const connection = this.connections.get(req.socket);
    if (!connection?.accept(res)) return;
    using account = this.bodyMemory.open(req.socket.remoteAddress ?? '');
    const request = await connection.receive(
      res,
      () => this.receive(connection, req, res, arrivedAt, account),
      () => this.rejectRead(connection, res, Rejection.NoMemory),
    );
    if (!request) return;
    this.unanswered.set(res, request);
    try {
      const end = await this.handler(request);
      if (this.unanswered.has(res)) this.reply(res, request, end);
    } finally {
      this.unanswered.delete(res);
    }
  }

  /** Reads and checks a request; undefined if it has been answered or dropped. */
  private async receive(
    connection: CallerConnection,
    req: IncomingMessage,
    res: ServerResponse,
    arrivedAt: number,
    account: BodyAccount,
  ): Promise<CallerRequest | undefined> {
    // A caller whose fields are malformed may frame its messages differently:
    // nothing that follows on its connection is served.
    if (!areValidFields(req.rawHeaders)) {
      connection.reject(Rejection.Malformed, res);
      return undefined;
    }
    const expectation = expectationOf(req);
    if (expectation === Expectation.Unknown) {
      this.answerRejected(res, Rejection.Expectation);
      return undefined;
    }
    if (expectation === Expectation.Continue) res.writeContinue();
    const limits = {
      maxBytes: this.limits.bodyBytes,
      timeoutMs: BODY_TIMEOUT_MS,
    };
    const body = await readBody(req, limits, account, this.pace);
    switch (body.kind) {
      case 'truncated':
        return undefined;
      case 'too_slow':
        connection.reject(Rejection.Late, res);
        return undefined;
      case 'no_memory':
        connection.reject(Rejection.NoMemory, res);
        return undefined;
      case 'too_large':
        this.rejectRead(connection, res, Rejection.BodyTooLarge);
        return undefined;
      case 'complete':
        break;
      default:
        return body satisfies never;
    }
    if (!areValidFields(req.rawTrailers)) {
      connection.reject(Rejection.Malformed, res);
      return undefined;
    }
    const {closed} = connection;
    const {headers: names} = this.wire;
    const request = callerRequestOf(req, names, body.bytes, arrivedAt, closed);
    if (!request) {
      const remedy = 'a request needs one id and one host\n';
      this.answerRejected(res, Rejection.Unnamed, remedy);
    }
    return request;
  }

  /** Rejects a message; its connection goes on if it has arrived whole. */
  private rejectRead(
    connection: CallerConnection,
    res: ServerResponse,
    rejection: Rejection,
  ): void {
    // The rest of the body may be long: it is not awaited.
    if (!res.req.complete) connection.reject(rejection, res);
    else this.answerRejected(res, rejection);
  }

  /** Rejects a message that was read whole: its connection goes on. */
  private answerRejected(
    res: ServerResponse,
    rejection: Rejection,
    text = '',
  ): void {
    this.events.onRejected(res.req.socket.remoteAddress ?? '', rejection);
    const retryAfterS = retryAfterOf(rejection);
    if (retryAfterS !== undefined) res.setHeader('retry-after', retryAfterS);
    res.req.resume();
    res.writeHead(statusOf(rejection)).end(text);
  }

  /**
   * Ends a request after an error in its task. A server may have run it, and a
   * part of its answer may have been written.
   */
  private fail(res: ServerResponse, err: unknown): void {
    this.events.onError(err);
    // Answered already, as interrupted.
    if (res.writableEnded) return;
    if (res.headersSent) {
      res.destroy();
      return;
    }
    // They belong to the answer that could not be written.
    res.getHeaderNames().forEach(name => res.removeHeader(name));
    res.writeHead(502).end('internal error\n');
  }

  private reply(
    res: ServerResponse,
    request: CallerRequest,
    end: RequestEnd,
  ): void {
    this.unanswered.delete(res);
    const connection = this.connections.get(res.req.socket);
    if (!connection || connection.closed.aborted) return;
    if (connection.closesAfter(res)) res.setHeader('connection', 'close');
    writeEnd(res, request, end, this.wire.headers);
    const bytes = end.kind === 'answered' ? end.answer.body.byteLength : 0;
    const stallMs = stallLimitMs(this.slowestReader);
    connection.answered(res, bytes, Math.max(this.limits.idleMs, stallMs));
  }

  private rejectTunnel(socket: Socket): void {
    keepAfterConnect(this.server, socket);
    this.connections.get(socket)?.reject(Rejection.Malformed);
  }

  private reject(err: NodeJS.ErrnoException, socket: Socket): void {
    const connection = this.connections.get(socket);
    if (!connection || err.code === 'ECONNRESET') {
      socket.destroy();
      return;
    }
    // The caller has left, though Node.js reports what it did not send.
    if (err.code === TRUNCATED_CODE && connection.isBusy) {
      socket.end();
      return;
    }
    const rejection = rejectionOfError(err.code);
    const {headersMs} = this.limits;
    if (rejection !== Rejection.Late) connection.reject(rejection);
    else void connection.rejectLate(rejection, headersMs);
  }
}
