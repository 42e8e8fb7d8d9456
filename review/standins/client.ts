/** A client: sends one request on a connection of its own, or on kept ones. */
import {Agent, request} from 'node:http';
import {HOST} from './deployment.js';

/** A request and what became of it. */
export interface Attempt {
  readonly id: string;
  readonly route: string;
  readonly method: string;
  readonly instance: string;
  /** As of `performance.now()`. */
  readonly sentAt: number;
  endedAt: number | undefined;
  /** Status of a complete answer; undefined if the connection ended without one. */
  status: number | undefined;
  isSealed: boolean;
  reason: string;
}

/** Where and what a client sends. */
export interface Send {
  readonly to: {readonly name: string; readonly callers: string};
  readonly route: string;
  readonly method: 'GET' | 'POST';
  readonly deadlineMs: number;
  readonly body?: Buffer;
}

/** Sends requests and keeps what became of them. */
export class Client {
  readonly attempts: Attempt[] = [];
  private readonly agent: Agent;
  private sent = 0;

  constructor(
    private readonly prefix: string,
    keepsConnections: boolean,
  ) {
    // Below the idle limit of the configuration.
    this.agent = new Agent({keepAlive: keepsConnections, timeout: 12_000});
  }

  /** Resolves when the request has ended. Never rejects. */
  send({to, route, method, deadlineMs, body}: Send): Promise<Attempt> {
    const id = `${this.prefix}-${(this.sent += 1)}`;
    const attempt: Attempt = {
      id,
      route,
      method,
      instance: to.name,
      sentAt: performance.now(),
      endedAt: undefined,
      status: undefined,
      isSealed: false,
      reason: '',
    };
    this.attempts.push(attempt);
    const [host, port] = to.callers.split(':');
    return new Promise(resolve => {
      const end = (reason: string) => {
        attempt.endedAt ??= performance.now();
        attempt.reason ||= reason;
        clearTimeout(timer);
        resolve(attempt);
      };
      const req = request(
        {
          host,
          port,
          method,
          path: `/${route}/${id}`,
          agent: this.agent,
          headers: {
            host: HOST,
            'x-request-id': id,
            'x-deadline-ms': String(deadlineMs),
            ...(body && {'content-length': body.byteLength}),
          },
        },
        res => {
          const chunks: Buffer[] = [];
          res.on('data', (chunk: Buffer) => chunks.push(chunk));
          res.on('error', err => end(`cut: ${err.message}`));
          res.on('close', () => {
            if (!res.complete) return end('cut');
            attempt.status = res.statusCode;
            attempt.isSealed = res.headers['x-response-seal'] !== undefined;
            const text = Buffer.concat(chunks).toString().trim();
            end(attempt.isSealed ? 'answer of a worker' : text);
          });
        },
      );
      const timer = setTimeout(() => {
        attempt.reason = 'deadline of the client';
        req.destroy();
      }, deadlineMs + 300);
      req.on('error', err => end(err.message));
      req.end(body);
    });
  }

  close(): void {
    this.agent.destroy();
  }
}
