/** One timer that serves the earliest of many due times. */
import type {Clock, Timers} from './clock.js';

/**
 * Calls its listener at the earliest time that was asked for. Asking for a
 * later time than the pending one costs nothing, so that a queue may ask with
 * each change; the listener asks again for what is left.
 */
export class WakeupTimer implements Disposable {
  private dueAt = Infinity;
  private timer: Disposable | undefined;

  constructor(
    private readonly clock: Clock,
    private readonly timers: Timers,
    private readonly onDue: (now: number) => void,
  ) {}

  /** Asks for a call of the listener at `at`, or earlier. */
  scheduleAt(at: number, now: number): void {
    if (at >= this.dueAt || at === Infinity) return;
    this.timer?.[Symbol.dispose]();
    this.dueAt = at;
    this.timer = this.timers.set(at - now, () => this.fire());
  }

  [Symbol.dispose](): void {
    this.timer?.[Symbol.dispose]();
    this.timer = undefined;
    this.dueAt = Infinity;
  }

  private fire(): void {
    this.timer = undefined;
    this.dueAt = Infinity;
    this.onDue(this.clock.now());
  }
}
