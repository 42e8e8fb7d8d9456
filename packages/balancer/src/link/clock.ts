/** Interfaces of the monotonic clock and of one-shot timers. */

/** A monotonic clock, milliseconds. */
export interface Clock {
  now(): number;
}

/** One-shot timers. */
export interface Timers {
  /** Calls `listener` after `delayMs` milliseconds unless disposed before. */
  set(delayMs: number, listener: () => void): Disposable;
}

/** The monotonic clock of this process. */
export const PROCESS_CLOCK: Clock = {now: () => performance.now()};

/** Timers of this process; pending timers do not keep it alive. */
export const PROCESS_TIMERS: Timers = {
  set(delayMs, listener) {
    const timer = setTimeout(listener, Math.max(0, Math.ceil(delayMs)));
    timer.unref();
    return {[Symbol.dispose]: () => clearTimeout(timer)};
  },
};
