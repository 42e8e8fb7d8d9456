/** Pool of connections to one backend server. */
import {BackendConnection, type OutgoingRequest} from './backend_connection.js';
import type {ExchangeResult} from './exchange.js';

/** Time limit for opening a connection, milliseconds. */
const OPEN_TIMEOUT_MS = 400;
/** Number of idle connections that are kept. */
const MAX_IDLE = 16;

/** Pool of connections to one address. */
export class BackendConnectionPool implements Disposable {
  // Most recently used last: that one is the least likely to have been closed.
  private readonly idle: BackendConnection[] = [];
  private readonly busy = new Set<BackendConnection>();

  constructor(readonly address: string) {}

  /** Number of connections that are open or being opened. */
  get count(): number {
    return this.idle.length + this.busy.size;
  }

  /**
   * Sends one request. Never rejects.
   *
   * @param maxIdleMs Longest time since the last answer of a reused connection;
   *     the server may have dropped one that was idle for longer.
   */
  async send(
    request: OutgoingRequest,
    timeoutMs: number,
    maxIdleMs: number,
    signal: AbortSignal,
  ): Promise<ExchangeResult> {
    const connection = this.acquire(maxIdleMs);
    this.busy.add(connection);
    const result = await connection.exchange(request, timeoutMs, signal);
    this.busy.delete(connection);
    const isReusable = result.kind === 'message' && connection.isOpen;
    if (isReusable && this.idle.length < MAX_IDLE) this.idle.push(connection);
    else connection[Symbol.dispose]();
    return result;
  }

  /** Closes the idle connections; busy ones finish their request first. */
  [Symbol.dispose](): void {
    this.idle.splice(0).forEach(connection => connection[Symbol.dispose]());
  }

  private acquire(maxIdleMs: number): BackendConnection {
    const minLastAnswerAt = performance.now() - maxIdleMs;
    let connection = this.idle.pop();
    while (
      connection &&
      !(connection.isOpen && connection.lastAnswerAt >= minLastAnswerAt)
    ) {
      connection[Symbol.dispose]();
      connection = this.idle.pop();
    }
    return connection ?? new BackendConnection(this.address, OPEN_TIMEOUT_MS);
  }
}
