/** A caller's connection and its pipelined requests, which are answered in order. */
import {setMaxListeners} from 'node:events';
import type {ServerResponse} from 'node:http';
import type {Socket} from 'node:net';

/** One connection of a caller. */
export class CallerConnection {
  /** Aborted when the caller has closed the connection. */
  private readonly closeController = new AbortController();
  private readonly openResponses = new Set<ServerResponse>();
  private closeAnnounced = false;
  /** Bytes that had been read when the last request was answered. */
  private bytesReadBefore = 0;

  constructor(
    private readonly socket: Socket,
    private readonly isClosing: () => boolean,
  ) {
    // Each request in flight adds a listener.
    setMaxListeners(0, this.closeController.signal);
    socket.once('close', () => this.closeController.abort());
  }

  /** Aborted when the caller has disconnected. */
  get closed(): AbortSignal {
    return this.closeController.signal;
  }

  /** Number of requests in flight. */
  get inFlight(): number {
    return this.openResponses.size;
  }

  /** Whether any request is in flight. */
  get isBusy(): boolean {
    return this.openResponses.size > 0;
  }

  /** Whether a request is in flight or is being received. */
  get isInUse(): boolean {
    return this.isBusy || this.socket.bytesRead > this.bytesReadBefore;
  }

  /**
   * Registers a request; returns false if the connection is being closed, so that
   * the request would get no answer.
   */
  accept(res: ServerResponse): boolean {
    if (this.closeAnnounced) return false;
    this.openResponses.add(res);
    res.once('close', () => {
      this.openResponses.delete(res);
      this.bytesReadBefore = this.socket.bytesRead;
    });
    return true;
  }

  /**
   * Returns whether the connection ends with the answer about to be written. Only
   * the last request in flight may end it: answers after it would be lost.
   */
  closesAfter(res: ServerResponse): boolean {
    if (!this.isClosing()) return false;
    const isLast = this.openResponses.size === 1 && this.openResponses.has(res);
    this.closeAnnounced ||= isLast;
    return isLast;
  }

  /** Accepts no further requests; those in flight are answered. */
  endAfterCurrent(): void {
    this.closeAnnounced = true;
  }

  /**
   * Closes the connection unless it is in use. A request that arrives while the
   * close is on its way is not served: its caller could not read the answer.
   */
  closeIdle(): void {
    if (this.isInUse) return;
    this.closeAnnounced = true;
    this.socket.end();
  }

  /** Closes the connection after bytes that could not be parsed as a request. */
  rejectMalformed(answer: string): void {
    // With a request in flight, the caller would take this answer for the answer to it.
    if (this.isBusy || !this.socket.writable) this.socket.destroy();
    else this.socket.end(answer);
  }
}
