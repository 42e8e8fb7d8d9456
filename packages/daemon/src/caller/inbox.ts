/** A queue through which one task receives its messages. */

/** An unbounded FIFO queue with a single reader. */
export class Inbox<T> {
  private readonly waiting: T[] = [];
  private reader: ((message: T | undefined) => void) | undefined;
  private closed = false;

  /** Number of queued messages. */
  get size(): number {
    return this.waiting.length;
  }

  /** Adds a message; after `close` messages are dropped. */
  put(message: T): void {
    if (this.closed) return;
    const {reader} = this;
    if (!reader) {
      this.waiting.push(message);
      return;
    }
    this.reader = undefined;
    reader(message);
  }

  /** Waits for the next message; resolves with undefined once closed. */
  take(): Promise<T | undefined> {
    const next = this.closed ? undefined : this.waiting.shift();
    if (next !== undefined || this.closed) return Promise.resolve(next);
    return new Promise(resolve => (this.reader = resolve));
  }

  /** Drops the queued messages. */
  clear(): void {
    this.waiting.length = 0;
  }

  /** Drops the queued messages and wakes up a waiting reader. */
  close(): void {
    this.closed = true;
    this.clear();
    this.reader?.(undefined);
    this.reader = undefined;
  }
}
