/** A timer that fires at the earliest of several requested times. */
import type {Clock, Timers} from './clock.js';

/**
 * Calls its listener at the earliest scheduled time. Scheduling a later time
 * than the pending one is ignored at almost no cost, so a queue can call
 * `scheduleAt` on each change; the listener must schedule the remaining times
 * again.
 */
export class WakeupTimer implements Disposable {
  private dueAt = Infinity;
  private timer: Disposable | undefined;

  constructor(
    private readonly clock: Clock,
    private readonly timers: Timers,
    private readonly onWakeup: (now: number) => void,
  ) {}

  /** Ensures that the listener is called at `at` or earlier. */
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
    this.onWakeup(this.clock.now());
  }
}
