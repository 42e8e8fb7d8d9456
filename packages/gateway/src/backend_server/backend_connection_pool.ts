/** Pool of connections to one backend server. */
import {setImmediate as afterEvents} from 'node:timers/promises';
import type {AnswerCosts} from './answer_costs.js';
import {BackendConnection, type OutgoingRequest} from './backend_connection.js';
import type {
  ExchangeLimits,
  ExchangeResult,
  HeadListener,
  Message,
} from './exchange.js';

/** Time limit for opening a connection, milliseconds. */
const OPEN_TIMEOUT_MS = 400;
/**
 * Idle time from which a server may have closed a connection, milliseconds. It is
 * reused only after the events that wait have been handled: its end may be one.
 */
const MIN_CLOSING_IDLE_MS = 50;
/** Number of idle connections that are kept. */
const MAX_IDLE = 16;

/** What an answer says about the request that it is for. */
export const Attribution = {
  /** It names the request that waits, or that one has no id. */
  This: 'this',
  Other: 'other',
  /** It names none, so that it could not be told from a later copy of itself. */
  Unnamed: 'unnamed',
} as const;

/** One of the values of {@link Attribution}. */
export type Attribution = (typeof Attribution)[keyof typeof Attribution];

/** Returns which request an answer is for, given the id of the one that waits. */
export type Attribute = (
  message: Message,
  id: string | undefined,
) => Attribution;

/** Pool of connections to one address. */
export class BackendConnectionPool implements Disposable {
  // Most recently used last: that one is the least likely to have been closed.
  private readonly idle: BackendConnection[] = [];
  private readonly busy = new Set<BackendConnection>();
  private isDisposed = false;

  constructor(
    readonly address: string,
    private readonly costs: AnswerCosts,
    private readonly attribute: Attribute,
  ) {}

  /** Number of connections that are open or being opened. */
  get count(): number {
    return this.idle.length + this.busy.size;
  }

  /**
   * Sends one request. Never rejects. A connection that brought the answer to
   * another request is closed: the answer to this one may still come on it. One
   * whose answer names no request is closed too: a copy of that answer could be
   * taken for the answer to the next request.
   *
   * @param id Id of the request; undefined if it has none.
   * @param maxIdleMs Longest time since the last answer of a reused connection;
   *     the server may have dropped one that was idle for longer.
   */
  async send(
    id: string | undefined,
    prepare: () => OutgoingRequest,
    limits: ExchangeLimits,
    maxIdleMs: number,
    signal: AbortSignal,
    onHead: HeadListener,
  ): Promise<ExchangeResult> {
    const connection = await this.acquire(maxIdleMs);
    this.busy.add(connection);
    const result = await connection.exchange(prepare, limits, signal, onHead);
    this.busy.delete(connection);
    const attribution =
      result.kind === 'message' ? this.attribute(result, id) : undefined;
    if (attribution === Attribution.Other) {
      connection[Symbol.dispose]();
      return {kind: 'broken', detail: 'the answer belongs to another request'};
    }
    const isReusable =
      attribution === Attribution.This && connection.isOpen && !this.isDisposed;
    if (isReusable && this.idle.length < MAX_IDLE) this.idle.push(connection);
    else connection[Symbol.dispose]();
    return result;
  }

  /** Closes the idle connections; busy ones finish their request first. */
  [Symbol.dispose](): void {
    this.isDisposed = true;
    this.idle.splice(0).forEach(connection => connection[Symbol.dispose]());
  }

  private async acquire(maxIdleMs: number): Promise<BackendConnection> {
    let connection = this.idle.pop();
    while (connection && !(await this.isReusable(connection, maxIdleMs))) {
      connection[Symbol.dispose]();
      connection = this.idle.pop();
    }
    if (connection) return connection;
    return new BackendConnection(this.address, this.costs, OPEN_TIMEOUT_MS);
  }

  private async isReusable(
    connection: BackendConnection,
    maxIdleMs: number,
  ): Promise<boolean> {
    const idleMs = performance.now() - connection.lastAnswerAt;
    if (!connection.isOpen || idleMs > maxIdleMs) return false;
    if (idleMs >= MIN_CLOSING_IDLE_MS) {
      // Of the events that wait now, some may be read in the next round only.
      await afterEvents();
      await afterEvents();
    }
    return connection.isOpen;
  }
}
