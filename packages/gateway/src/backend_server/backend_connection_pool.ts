/** Pool of connections to one backend server. */
import type {AnswerMemory} from './answer_memory.js';
import {BackendConnection, type OutgoingRequest} from './backend_connection.js';
import type {ExchangeResult, HeadListener, Message} from './exchange.js';

/** Time limit for opening a connection, milliseconds. */
const OPEN_TIMEOUT_MS = 400;
/** Number of idle connections that are kept. */
const MAX_IDLE = 16;

/** Returns whether an answer is for the request with this id, if it has one. */
export type BelongsCheck = (
  message: Message,
  id: string | undefined,
) => boolean;

/** Pool of connections to one address. */
export class BackendConnectionPool implements Disposable {
  // Most recently used last: that one is the least likely to have been closed.
  private readonly idle: BackendConnection[] = [];
  private readonly busy = new Set<BackendConnection>();

  /** @param belongs Returns whether an answer is for the request with this id. */
  constructor(
    readonly address: string,
    private readonly memory: AnswerMemory,
    private readonly belongs: BelongsCheck,
  ) {}

  /** Number of connections that are open or being opened. */
  get count(): number {
    return this.idle.length + this.busy.size;
  }

  /**
   * Sends one request. Never rejects. A connection that brought the answer to
   * another request is closed: the answer to this one may still come on it.
   *
   * @param id Id of the request; undefined if it has none.
   * @param maxIdleMs Longest time since the last answer of a reused connection;
   *     the server may have dropped one that was idle for longer.
   */
  async send(
    id: string | undefined,
    prepare: () => OutgoingRequest,
    timeoutMs: number,
    maxIdleMs: number,
    signal: AbortSignal,
    onHead: HeadListener,
  ): Promise<ExchangeResult> {
    const connection = this.acquire(maxIdleMs);
    this.busy.add(connection);
    const result = await connection.exchange(
      prepare,
      timeoutMs,
      signal,
      onHead,
    );
    this.busy.delete(connection);
    if (result.kind === 'message' && !this.belongs(result, id)) {
      connection[Symbol.dispose]();
      return {kind: 'broken', detail: 'the answer belongs to another request'};
    }
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
    if (connection) return connection;
    return new BackendConnection(this.address, this.memory, OPEN_TIMEOUT_MS);
  }
}
