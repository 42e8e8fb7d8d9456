/** One connection of a caller: its requests in flight, answered in their order. */
import {setMaxListeners} from 'node:events';
import type {ServerResponse} from 'node:http';
import type {Socket} from 'node:net';

/** One connection. */
export class FrontConnection {
  /** Aborted when the caller has closed the connection. */
  private readonly gone = new AbortController();
  private readonly open = new Set<ServerResponse>();
  private ending = false;

  constructor(
    private readonly socket: Socket,
    private readonly isClosing: () => boolean,
  ) {
    // One listener for each request in flight.
    setMaxListeners(0, this.gone.signal);
    socket.once('close', () => this.gone.abort());
  }

  /** Aborted when the caller has left. */
  get left(): AbortSignal {
    return this.gone.signal;
  }

  /** Requests that wait for their answers. */
  get inFlight(): number {
    return this.open.size;
  }

  /** Whether requests wait for their answers. */
  get isBusy(): boolean {
    return this.open.size > 0;
  }

  /** Takes a request in; false if it came behind the last answer. */
  accept(res: ServerResponse): boolean {
    if (this.ending) return false;
    this.open.add(res);
    res.once('close', () => this.open.delete(res));
    return true;
  }

  /**
   * Whether the answer about to be written ends the connection: only the last
   * one in flight may, since what was sent behind it would be lost.
   */
  endsWith(res: ServerResponse): boolean {
    if (!this.isClosing()) return false;
    const isLast = this.open.size === 1 && this.open.has(res);
    this.ending ||= isLast;
    return isLast;
  }

  /** Closes it if nothing is in flight. */
  closeIdle(): void {
    if (!this.isBusy) this.socket.end();
  }

  /** Ends it for bytes that are no request. */
  fail(answer: string): void {
    // In the place of an answer in flight, another one would be taken for it.
    if (this.isBusy || !this.socket.writable) this.socket.destroy();
    else this.socket.end(answer);
  }
}
