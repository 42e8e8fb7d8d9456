/** The kept connections to one backend server. */
import {BackendConnection, type OutgoingRequest} from './backend_connection.js';
import type {ExchangeEnd} from './exchange.js';

/** Time for a connection to open, milliseconds. */
const CONNECT_MS = 400;
/** Idle connections that are kept. */
const MAX_IDLE = 16;

/** Connections to one address. */
export class BackendConnections implements Disposable {
  // The most recently used one is last: it is the least likely to be dead.
  private readonly idle: BackendConnection[] = [];
  private readonly busy = new Set<BackendConnection>();

  constructor(readonly address: string) {}

  /** Connections that are open or being opened. */
  get count(): number {
    return this.idle.length + this.busy.size;
  }

  /**
   * Sends one request. Never rejects.
   *
   * @param maxIdleMs Longest time since the last answer of a kept connection;
   *     a server may have forgotten one that was idle for longer.
   */
  async send(
    request: OutgoingRequest,
    timeoutMs: number,
    maxIdleMs: number,
    signal: AbortSignal,
  ): Promise<ExchangeEnd> {
    const connection = this.take(maxIdleMs);
    this.busy.add(connection);
    const end = await connection.exchange(request, timeoutMs, signal);
    this.busy.delete(connection);
    const isKept = end.kind === 'message' && connection.isOpen;
    if (isKept && this.idle.length < MAX_IDLE) this.idle.push(connection);
    else connection[Symbol.dispose]();
    return end;
  }

  /** Closes the idle connections; busy ones close when their answers end. */
  [Symbol.dispose](): void {
    this.idle.splice(0).forEach(connection => connection[Symbol.dispose]());
  }

  private take(maxIdleMs: number): BackendConnection {
    const since = performance.now() - maxIdleMs;
    let connection = this.idle.pop();
    while (
      connection &&
      !(connection.isOpen && connection.lastAnswerAt >= since)
    ) {
      connection[Symbol.dispose]();
      connection = this.idle.pop();
    }
    return connection ?? new BackendConnection(this.address, CONNECT_MS);
  }
}
