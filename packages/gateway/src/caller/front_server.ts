/** The callers' side over HTTP/1.1: reads requests, writes answers. */
import {withoutHops} from '@ragworthall/daemon';
import type {CallerRequestLimits, Clock} from '@ragworthall/balancer';
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from 'node:http';
import type {Socket} from 'node:net';
import type {WireFormat} from '../platform/wire_format.js';
import type {CallerRequest, RequestEnd} from '../request/caller_request.js';
import {readWhole} from './body.js';
import {FrontConnection} from './front_connection.js';

/** Time that a caller waits who names none, milliseconds. */
const DEFAULT_WAIT_MS = 30_000;
/** Bounds until a configuration names them. */
const FIRST_BOUNDS: CallerRequestLimits = {
  headerBytes: 65_536,
  bodyBytes: 67_108_864,
  headersMs: 10_000,
  idleMs: 60_000,
};
const MS_PER_S = 1_000;
/** Request headers that the next connection sets by itself. */
const SET_BY_NEXT_HOP: ReadonlySet<string> = new Set([
  'content-length',
  'expect',
]);

/** Runs requests to their ends. */
export type RequestHandler = (request: CallerRequest) => Promise<RequestEnd>;

/** Serves callers on one address. */
export class FrontServer {
  private readonly server: Server;
  private readonly connections = new Map<Socket, FrontConnection>();
  private bounds = FIRST_BOUNDS;
  private closing = false;

  constructor(
    private readonly handler: RequestHandler,
    private readonly wire: WireFormat,
    private readonly clock: Clock,
  ) {
    this.server = createServer({
      maxHeaderSize: FIRST_BOUNDS.headerBytes,
      headersTimeout: FIRST_BOUNDS.headersMs,
      requestTimeout: 0,
      keepAliveTimeout: FIRST_BOUNDS.idleMs,
      noDelay: true,
    });
    this.server.maxHeadersCount = 0;
    this.server
      .on('connection', socket => this.open(socket))
      .on('request', (req, res) => void this.serve(req, res))
      .on('clientError', (err: NodeJS.ErrnoException, socket) =>
        this.fail(err, socket as Socket),
      );
  }

  /** Requests whose answers have not been written. */
  get inFlight(): number {
    return [...this.connections.values()].reduce(
      (sum, connection) => sum + connection.inFlight,
      0,
    );
  }

  /** Starts to listen; rejects if the address is taken. */
  async listen(port: number, host: string): Promise<void> {
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, host, () => resolve());
    });
  }

  /** Takes over bounds from a changed configuration. */
  bound(bounds: CallerRequestLimits): void {
    this.bounds = bounds;
    this.server.headersTimeout = bounds.headersMs;
    this.server.keepAliveTimeout = bounds.idleMs;
  }

  /** From now on each connection ends with its answers in flight. */
  startClosing(): void {
    this.closing = true;
  }

  /** Takes no new connection and closes the idle ones. */
  stopListening(): void {
    this.startClosing();
    this.server.close();
    this.connections.forEach(connection => connection.closeIdle());
  }

  private open(socket: Socket): void {
    const connection = new FrontConnection(socket, () => this.closing);
    this.connections.set(socket, connection);
    socket.once('close', () => this.connections.delete(socket));
  }

  private async serve(
    req: IncomingMessage,
    res: ServerResponse,
  ): Promise<void> {
    // An answer to a caller that has left has nowhere to go.
    res.on('error', () => undefined);
    const arrivedAt = this.clock.now();
    const connection = this.connections.get(req.socket);
    if (!connection?.accept(res)) return;
    const body = await readWhole(req, this.bounds.bodyBytes);
    switch (body.kind) {
      case 'cut':
        return;
      case 'too_large':
        res.writeHead(413, {connection: 'close'}).end();
        return;
      case 'whole':
        break;
      default:
        body satisfies never;
        return;
    }
    const request = this.requestOf(req, body.bytes, arrivedAt, connection.left);
    if (request === undefined) {
      res.writeHead(400).end('a request needs one id and one host\n');
      return;
    }
    const end = await this.handler(request);
    if (!connection.left.aborted) this.write(connection, res, request, end);
  }

  private requestOf(
    req: IncomingMessage,
    body: Uint8Array,
    arrivedAt: number,
    left: AbortSignal,
  ): CallerRequest | undefined {
    const {headers: names} = this.wire;
    const id = req.headers[names.requestId];
    const {host} = req.headers;
    if (typeof id !== 'string' || host === undefined) return undefined;
    const waits = Number(req.headers[names.timeLeft] ?? DEFAULT_WAIT_MS);
    const own = new Set([names.timeLeft, names.expectedServer]);
    return {
      id,
      method: req.method ?? 'GET',
      target: req.url ?? '/',
      host,
      headers: withoutHops(
        req.rawHeaders,
        name => !SET_BY_NEXT_HOP.has(name) && !own.has(name),
      ),
      body,
      arrivedAt,
      waitsMs: Number.isFinite(waits) ? waits : DEFAULT_WAIT_MS,
      left,
    };
  }

  private write(
    connection: FrontConnection,
    res: ServerResponse,
    request: CallerRequest,
    end: RequestEnd,
  ): void {
    const {headers: names} = this.wire;
    if (connection.endsWith(res)) res.setHeader('connection', 'close');
    switch (end.kind) {
      case 'answered': {
        const {status, headers, body} = end.answer;
        const hidden = new Set([names.load, names.serverId]);
        const kept = withoutHops(headers, name => !hidden.has(name));
        for (let i = 0; i + 1 < kept.length; i += 2) {
          res.appendHeader(kept[i]!, kept[i + 1]!);
        }
        res.writeHead(status).end(body);
        return;
      }
      case 'refused':
        res.setHeader('retry-after', String(end.retryAfterMs / MS_PER_S));
        return this.writeOwn(res, request, 503, end.reason);
      case 'no_route':
        return this.writeOwn(res, request, 404, 'no route');
      case 'unknown':
        return this.writeOwn(
          res,
          request,
          end.reason === 'late' ? 504 : 502,
          end.reason,
        );
      case 'abandoned':
        res.destroy();
        return;
      default:
        end satisfies never;
    }
  }

  private writeOwn(
    res: ServerResponse,
    request: CallerRequest,
    status: number,
    reason: string,
  ): void {
    res.setHeader(this.wire.headers.requestId, request.id);
    res.writeHead(status).end(`${reason}\n`);
  }

  private fail(err: NodeJS.ErrnoException, socket: Socket): void {
    const connection = this.connections.get(socket);
    if (!connection || err.code === 'ECONNRESET') socket.destroy();
    else connection.fail(malformed(err.code));
  }
}

function malformed(code: string | undefined): string {
  const status = STATUS_BY_ERROR[code ?? ''] ?? '400 Bad Request';
  return `HTTP/1.1 ${status}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`;
}

/** Statuses for errors of Node's parser. */
const STATUS_BY_ERROR: Readonly<Record<string, string>> = {
  HPE_HEADER_OVERFLOW: '431 Request Header Fields Too Large',
  ERR_HTTP_REQUEST_TIMEOUT: '408 Request Timeout',
};
