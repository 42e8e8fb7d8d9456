/** Lets one request with a content run at a time; others may wait for it. */
import {offAbort, onAbort} from '../link/abort.js';
import type {Timers} from '../link/clock.js';

/** The lock of one content. */
export class RunLock {
  private taken = false;
  /** Callbacks that wake the requests that wait. */
  private readonly waiting = new Set<() => void>();

  constructor(
    private readonly timers: Timers,
    /** Called when it may have become unused. */
    private readonly onRelease: () => void = () => undefined,
  ) {}

  /** Whether no request holds it or waits for it. */
  get isUnused(): boolean {
    return !this.taken && this.waiting.size === 0;
  }

  /** Takes the lock until the result is disposed; undefined if it is taken. */
  tryTake(): Disposable | undefined {
    if (this.taken) return undefined;
    this.taken = true;
    return {
      [Symbol.dispose]: () => {
        this.taken = false;
        this.wakeAll();
        this.onRelease();
      },
    };
  }

  /** Lets those that wait look at the content again. */
  wakeAll(): void {
    [...this.waiting].forEach(wake => wake());
  }

  /** Waits until the lock may be free, at most `ms`. Never rejects. */
  async wait(ms: number, signal: AbortSignal): Promise<void> {
    await new Promise<void>(resolve => {
      const timer = this.timers.set(ms, () => wake());
      const wake = () => {
        timer[Symbol.dispose]();
        offAbort(signal, wake);
        this.waiting.delete(wake);
        this.onRelease();
        resolve();
      };
      this.waiting.add(wake);
      onAbort(signal, wake);
    });
  }
}
