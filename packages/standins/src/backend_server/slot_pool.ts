/** The slots of a backend server and the queue of requests waiting for one. */

/** Outcome of a request for a slot. */
export const SlotOutcome = {
  Granted: 'granted',
  /** The queue was full. */
  Refused: 'refused',
  /** The deadline passed before a slot became free. */
  Expired: 'expired',
  Cancelled: 'cancelled',
} as const;

/** One of the values of {@link SlotOutcome}. */
export type SlotOutcome = (typeof SlotOutcome)[keyof typeof SlotOutcome];

/** A queued request for a slot. */
interface Waiter {
  /** When the request expires, in milliseconds. */
  readonly deadlineMs: number;
  readonly resolve: (outcome: SlotOutcome) => void;
}

/** A fixed number of slots, granted in order of arrival. */
export class SlotPool {
  private acquired = 0;
  private waiters: readonly Waiter[] = [];

  /**
   * @param count Maximum number of requests that run concurrently.
   * @param queueLimit Maximum number of queued requests.
   */
  constructor(
    readonly count: number,
    private readonly queueLimit: number,
  ) {}

  /** Number of queued requests. */
  get queuedCount(): number {
    return this.waiters.length;
  }

  /** Acquires a slot if one is free. */
  tryAcquireSlot(): boolean {
    if (this.acquired >= this.count) return false;
    this.acquired++;
    return true;
  }

  /**
   * Waits in the queue for a slot until the signal is aborted. Refused
   * immediately if the queue is full.
   */
  waitForSlot(deadlineMs: number, signal: AbortSignal): Promise<SlotOutcome> {
    if (signal.aborted) return Promise.resolve(SlotOutcome.Cancelled);
    if (this.waiters.length >= this.queueLimit) {
      return Promise.resolve(SlotOutcome.Refused);
    }
    return new Promise(resolve => {
      const waiter = {deadlineMs, resolve};
      this.waiters = [...this.waiters, waiter];
      signal.addEventListener('abort', () => this.cancelWaiter(waiter), {
        once: true,
      });
    });
  }

  /**
   * Releases a slot and grants it to the first waiter that has not expired;
   * waiters before it resolve as expired.
   */
  releaseSlot(now: number): void {
    const next = this.waiters.findIndex(waiter => waiter.deadlineMs > now);
    const expired = next < 0 ? this.waiters : this.waiters.slice(0, next);
    const granted = this.waiters[next];
    this.waiters = next < 0 ? [] : this.waiters.slice(next + 1);
    expired.forEach(waiter => waiter.resolve(SlotOutcome.Expired));
    if (granted === undefined) this.acquired--;
    else granted.resolve(SlotOutcome.Granted);
  }

  private cancelWaiter(waiter: Waiter): void {
    if (!this.waiters.includes(waiter)) return;
    this.waiters = this.waiters.filter(other => other !== waiter);
    waiter.resolve(SlotOutcome.Cancelled);
  }
}
