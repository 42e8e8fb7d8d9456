/**
 * Lets the next request of a connection wait, for instance while its caller does not
 * read the answers. Beyond a number of requests nothing further is read meanwhile.
 */
import type {Socket} from 'node:net';

/**
 * Requests of a connection from which it is not read while one waits. A socket that
 * is not read does not tell that its caller has left.
 */
const MAX_READ_AHEAD = 32;

/** The turns of the requests of one connection. */
export class RequestTurns {
  private wake: () => void = () => undefined;
  private isWaiting = false;

  /**
   * @param unanswered Returns the number of requests of the connection that have been
   *     read and have no whole answer.
   */
  constructor(
    private readonly socket: Socket,
    private readonly unanswered: () => number,
  ) {}

  /**
   * Reads no further while a request waits and many have been read; called for each
   * that has arrived.
   */
  arrived(): void {
    // Node.js resumes reading by itself after answers.
    if (this.isWaiting) this.pauseIfMany();
  }

  /**
   * Waits while `mustWait` holds, which is asked again on each {@link check}. Only
   * one request of a connection waits at a time.
   */
  async wait(mustWait: () => boolean): Promise<void> {
    while (mustWait()) {
      this.isWaiting = true;
      this.pauseIfMany();
      await new Promise<void>(resolve => (this.wake = resolve));
    }
    if (!this.isWaiting) return;
    this.isWaiting = false;
    this.socket.resume();
  }

  /** Makes a request that waits look again. */
  check(): void {
    this.wake();
  }

  private pauseIfMany(): void {
    if (this.unanswered() > MAX_READ_AHEAD) this.socket.pause();
  }
}
