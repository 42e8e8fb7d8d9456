/**
 * Notices that this process did not run for some seconds: it was stopped, its
 * machine was suspended, or its event loop was blocked. What it knew and was
 * allowed to do before may have run out meanwhile.
 */
import type {Clock} from '@ragworthall/balancer';

/** Interval at which the clocks are compared, milliseconds. */
const CHECK_INTERVAL_MS = 200;
/** Time without a check that counts as a pause, milliseconds. */
const MIN_PAUSE_MS = 1_000;
/** Longest time for which requests wait for the state to be confirmed, milliseconds. */
const MAX_SETTLE_MS = 500;

/** The clocks of a process. */
export interface ProcessClocks {
  /** Monotonic; stands still while the machine is suspended. Milliseconds. */
  steady(): number;
  /** Time of day; may jump. Milliseconds. */
  wall(): number;
}

const PROCESS_CLOCKS: ProcessClocks = {
  steady: () => performance.now(),
  wall: () => Date.now(),
};

/** A monotonic clock that counts pauses, and a guard for the time after one. */
export class PauseGuard implements Clock, Disposable {
  private readonly timer: NodeJS.Timeout;
  private readonly confirmers: (() => Promise<void>)[] = [];
  private readonly listeners: ((ms: number) => void)[] = [];
  private settling: Promise<void> | undefined;
  private steadyAt: number;
  private wallAt: number;
  /** Time for which the steady clock stood still, milliseconds. */
  private suspendedMs = 0;

  constructor(private readonly clocks: ProcessClocks = PROCESS_CLOCKS) {
    this.steadyAt = clocks.steady();
    this.wallAt = clocks.wall();
    this.timer = setInterval(() => this.check(), CHECK_INTERVAL_MS);
    this.timer.unref();
  }

  /** Time since the process started, including suspensions, milliseconds. */
  now(): number {
    return this.clocks.steady() + this.suspendedMs;
  }

  /** Calls `confirm` after a pause, to bring a part of the state up to date. */
  onPauseConfirm(confirm: () => Promise<void>): void {
    this.confirmers.push(confirm);
  }

  /** Calls `listener` with the length of each pause, milliseconds. */
  onPause(listener: (ms: number) => void): void {
    this.listeners.push(listener);
  }

  /**
   * Returns a promise that resolves once the state may be acted on again;
   * undefined if there was no pause.
   */
  settled(): Promise<void> | undefined {
    this.check();
    return this.settling;
  }

  [Symbol.dispose](): void {
    clearInterval(this.timer);
  }

  private check(): void {
    const steady = this.clocks.steady();
    const wall = this.clocks.wall();
    const steadyMs = steady - this.steadyAt;
    const wallMs = wall - this.wallAt;
    this.steadyAt = steady;
    this.wallAt = wall;
    const pausedMs = Math.max(steadyMs, wallMs);
    if (pausedMs < MIN_PAUSE_MS) return;
    // A time of day that was set forward looks like a suspension; then requests
    // that wait lose that time, and are refused sooner than necessary.
    if (wallMs - steadyMs >= MIN_PAUSE_MS) {
      this.suspendedMs += wallMs - steadyMs;
    }
    this.listeners.forEach(listener => listener(pausedMs));
    this.startSettling();
  }

  private startSettling(): void {
    const confirmed = Promise.all(this.confirmers.map(confirm => confirm()));
    const limit = new Promise<void>(resolve =>
      setTimeout(resolve, MAX_SETTLE_MS).unref(),
    );
    const settling = Promise.race([confirmed, limit]).then(() => {
      if (this.settling === settling) this.settling = undefined;
    });
    this.settling = settling;
  }
}
