/** A clock and timers that are advanced by tests. */
import TinyQueue from 'tinyqueue';
import type {Clock, Timers} from '../link/clock.js';

interface PendingTimer {
  readonly at: number;
  /** Undefined once the timer is cancelled. */
  listener: (() => void) | undefined;
}

/** A clock that changes only when `advance` is called. */
export class FakeTime implements Clock, Timers {
  private time = 0;
  private readonly pending = new TinyQueue<PendingTimer>(
    [],
    (a, b) => a.at - b.at,
  );

  now(): number {
    return this.time;
  }

  set(delayMs: number, listener: () => void): Disposable {
    const timer: PendingTimer = {
      at: this.time + Math.max(0, delayMs),
      listener,
    };
    this.pending.push(timer);
    return {[Symbol.dispose]: () => (timer.listener = undefined)};
  }

  /** Advances the time and runs the timers that fall due, in order. */
  async advance(ms: number): Promise<void> {
    const end = this.time + ms;
    await flushPromises();
    while ((this.pending.peek()?.at ?? Infinity) <= end) {
      const {at, listener} = this.pending.pop()!;
      if (!listener) continue;
      this.time = Math.max(this.time, at);
      listener();
      await flushPromises();
    }
    this.time = end;
  }
}

/** Waits until pending promise callbacks have run. */
export function flushPromises(): Promise<void> {
  return new Promise(resolve => setImmediate(resolve));
}
