/** Time that a test moves by hand: a clock and its timers. */
import TinyQueue from 'tinyqueue';
import type {Clock, Timers} from '../link/clock.js';

interface Due {
  readonly at: number;
  /** Gone once the timer is cancelled. */
  listener: (() => void) | undefined;
}

/** A clock that stands still until `advance` is called. */
export class FakeTime implements Clock, Timers {
  private time = 0;
  private readonly due = new TinyQueue<Due>([], (a, b) => a.at - b.at);

  now(): number {
    return this.time;
  }

  set(delayMs: number, listener: () => void): Disposable {
    const entry: Due = {at: this.time + Math.max(0, delayMs), listener};
    this.due.push(entry);
    return {[Symbol.dispose]: () => (entry.listener = undefined)};
  }

  /** Moves the time on, running what is due in order. */
  async advance(ms: number): Promise<void> {
    const end = this.time + ms;
    await flushPromises();
    while ((this.due.peek()?.at ?? Infinity) <= end) {
      const {at, listener} = this.due.pop()!;
      if (!listener) continue;
      this.time = Math.max(this.time, at);
      listener();
      await flushPromises();
    }
    this.time = end;
  }
}

/** Lets all pending promises run. */
export function flushPromises(): Promise<void> {
  return new Promise(resolve => setImmediate(resolve));
}
