/**
 * HTTP server for the health of the daemon itself, on a separate address:
 *
 * - `GET /live`: 200 while the process responds.
 * - `GET /ready`: 200 if callers may be sent to this instance, else 503 with the
 *   reasons in the body.
 * - `GET /log-level` and `PUT /log-level`, with a body as `{"level": "warn"}`.
 */
import type {Clock} from '@ragworthall/balancer';
import findMyWay from 'find-my-way';
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from 'node:http';
import type {AddressInfo} from 'node:net';
import * as z from 'zod';
import {writeJson} from '../caller/answer_writer.js';
import {readBody} from '../caller/body.js';
import {HttpServerCloser} from '../caller/http_server_closer.js';
import {LOG_LEVELS, type LogLevel} from '../settings/settings.js';
import {type Readiness, unreadyMessage} from './readiness.js';

/** Log level that operators can read and change. */
export interface LogLevelControl {
  readonly level: LogLevel;
  setLevel(level: LogLevel): void;
}

/** Listen address and dependencies of a {@link HealthServer}. */
export interface HealthServerOptions {
  readonly host: string;
  /** 0 selects a free port. */
  readonly port: number;
  readonly readiness: Readiness;
  readonly log: LogLevelControl;
  readonly clock: Clock;
}

/** Limit of a request's body, bytes. */
const MAX_BODY_BYTES = 1_024;
/** Time limit for receiving a request, milliseconds. */
const REQUEST_TIMEOUT_MS = 2_000;
/** Limit of concurrent connections. */
const MAX_CONNECTIONS = 100;

const levelSchema = z.strictObject({level: z.enum(LOG_LEVELS)});
const LEVEL_REMEDY = `send {"level": LEVEL} with one of ${LOG_LEVELS.join(', ')}`;

/** Serves liveness, readiness and the log level over HTTP. */
export class HealthServer implements AsyncDisposable {
  private readonly router = findMyWay({
    defaultRoute: (unusedReq, res) =>
      writeJson(res, 404, {
        error: 'no such path; use /live, /ready or /log-level',
      }),
  });
  private readonly server: Server;
  private readonly closer: HttpServerCloser;

  private constructor(private readonly options: HealthServerOptions) {
    this.addRoutes();
    this.server = createServer(
      {headersTimeout: REQUEST_TIMEOUT_MS, requestTimeout: REQUEST_TIMEOUT_MS},
      (req, res) => this.router.lookup(req, res),
    );
    this.server.maxConnections = MAX_CONNECTIONS;
    this.closer = new HttpServerCloser(this.server);
  }

  /** Starts to listen; rejects if the address is in use. */
  static async start(options: HealthServerOptions): Promise<HealthServer> {
    const health = new HealthServer(options);
    await new Promise<void>((resolve, reject) => {
      health.server.once('error', reject);
      health.server.listen(options.port, options.host, () => resolve());
    });
    return health;
  }

  /** Base URL of the server. */
  get url(): string {
    const {address, family, port} = this.server.address() as AddressInfo;
    return `http://${family === 'IPv6' ? `[${address}]` : address}:${port}`;
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.closer.close(REQUEST_TIMEOUT_MS);
  }

  private addRoutes(): void {
    this.router.on('GET', '/live', (unusedReq, res) =>
      writeJson(res, 200, {state: 'live'}),
    );
    this.router.on('GET', '/ready', (unusedReq, res) =>
      this.sendReadiness(res),
    );
    this.router.on('GET', '/log-level', (unusedReq, res) =>
      writeJson(res, 200, {level: this.options.log.level}),
    );
    this.router.on(
      'PUT',
      '/log-level',
      (req, res) => void this.changeLevel(req as IncomingMessage, res),
    );
  }

  private sendReadiness(res: ServerResponse): void {
    const {readiness, clock} = this.options;
    const check = readiness.check(clock.now());
    switch (check.kind) {
      case 'ready':
        return writeJson(res, 200, {state: 'ready'});
      case 'unready': {
        const reasons = check.reasons.map(reason => ({
          reason,
          message: unreadyMessage(reason),
        }));
        return writeJson(res, 503, {state: 'unready', reasons});
      }
      default:
        check satisfies never;
    }
  }

  private async changeLevel(
    req: IncomingMessage,
    res: ServerResponse,
  ): Promise<void> {
    const read = await readBody(req, MAX_BODY_BYTES, REQUEST_TIMEOUT_MS);
    const level = read.kind === 'complete' ? parseLevel(read.body) : undefined;
    if (level === undefined) {
      res.setHeader('connection', 'close');
      return writeJson(res, 400, {error: LEVEL_REMEDY});
    }
    this.options.log.setLevel(level);
    writeJson(res, 200, {level});
  }
}

function parseLevel(body: Uint8Array): LogLevel | undefined {
  try {
    const value: unknown = JSON.parse(Buffer.from(body).toString());
    return levelSchema.safeParse(value).data?.level;
  } catch {
    return undefined;
  }
}
