/**
 * Health of the daemon itself, on an address of its own:
 *
 * - `GET /live`: 200 while the process answers at all.
 * - `GET /ready`: 200 if it should get callers, else 503; reasons in the body.
 * - `GET /log-level` and `PUT /log-level` with `{"level": "warn"}`.
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
import {z} from 'zod';
import {writeJson} from '../caller/answer_writer.js';
import {readBody} from '../caller/body.js';
import {LOG_LEVELS, type LogLevel} from '../settings/settings.js';
import {type Readiness, unreadyMessage} from './readiness.js';

/** The level of the log, as operators see and set it. */
export interface LevelControl {
  readonly level: LogLevel;
  setLevel(level: LogLevel): void;
}

/** What a health server needs. */
export interface HealthServerParts {
  readonly host: string;
  /** 0 takes a free port. */
  readonly port: number;
  readonly readiness: Readiness;
  readonly log: LevelControl;
  readonly clock: Clock;
}

/** Most bytes of a request's body. */
const MAX_BODY_BYTES = 1_024;
/** Time for a request to arrive, milliseconds. */
const REQUEST_MS = 2_000;
/** Connections at the same time. */
const MAX_CONNECTIONS = 100;

const levelSchema = z.strictObject({level: z.enum(LOG_LEVELS)});
const LEVEL_REMEDY = `send {"level": LEVEL} with one of ${LOG_LEVELS.join(', ')}`;

/** Serves the health of the daemon. */
export class HealthServer implements AsyncDisposable {
  private readonly router = findMyWay({
    defaultRoute: (unusedReq, res) =>
      writeJson(res, 404, {
        error: 'no such path; use /live, /ready or /log-level',
      }),
  });
  private readonly server: Server;

  private constructor(private readonly parts: HealthServerParts) {
    this.addRoutes();
    this.server = createServer(
      {headersTimeout: REQUEST_MS, requestTimeout: REQUEST_MS},
      (req, res) => this.router.lookup(req, res),
    );
    this.server.maxConnections = MAX_CONNECTIONS;
  }

  /** Starts to listen; rejects if the address is taken. */
  static async start(parts: HealthServerParts): Promise<HealthServer> {
    const health = new HealthServer(parts);
    await new Promise<void>((resolve, reject) => {
      health.server.once('error', reject);
      health.server.listen(parts.port, parts.host, () => resolve());
    });
    return health;
  }

  /** Base URL. */
  get url(): string {
    const {address, family, port} = this.server.address() as AddressInfo;
    return `http://${family === 'IPv6' ? `[${address}]` : address}:${port}`;
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await new Promise<void>(resolve => {
      this.server.close(() => resolve());
      this.server.closeAllConnections();
    });
  }

  private addRoutes(): void {
    this.router.on('GET', '/live', (unusedReq, res) =>
      writeJson(res, 200, {state: 'live'}),
    );
    this.router.on('GET', '/ready', (unusedReq, res) => this.answerReady(res));
    this.router.on('GET', '/log-level', (unusedReq, res) =>
      writeJson(res, 200, {level: this.parts.log.level}),
    );
    this.router.on(
      'PUT',
      '/log-level',
      (req, res) => void this.changeLevel(req as IncomingMessage, res),
    );
  }

  private answerReady(res: ServerResponse): void {
    const {readiness, clock} = this.parts;
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
    const read = await readBody(req, MAX_BODY_BYTES, REQUEST_MS);
    const level = read.kind === 'complete' ? levelOf(read.body) : undefined;
    if (level === undefined) {
      res.setHeader('connection', 'close');
      return writeJson(res, 400, {error: LEVEL_REMEDY});
    }
    this.parts.log.setLevel(level);
    writeJson(res, 200, {level});
  }
}

function levelOf(body: Uint8Array): LogLevel | undefined {
  try {
    const value: unknown = JSON.parse(Buffer.from(body).toString());
    return levelSchema.safeParse(value).data?.level;
  } catch {
    return undefined;
  }
}
