/** Dials the addresses of peers, with one task for each address. */
import {setTimeout as delay} from 'node:timers/promises';
import type {LinkError} from './link_error.js';

/**
 * Maximum delay before an address is dialled again after a link ended,
 * milliseconds; it doubles with each failed attempt.
 */
const INITIAL_BACKOFF_MS = 100;
/** Limit of the maximum delay, milliseconds. */
const MAX_BACKOFF_MS = 1_000;

/** Establishes a link to an address and runs it until it ends. */
export type RunLink = (
  address: string,
  signal: AbortSignal,
) => Promise<{readonly wasLinked: boolean; readonly err: LinkError}>;

/** Maintains links to a changing set of addresses. */
export class Dialler implements AsyncDisposable {
  private readonly tasks = new Map<string, Task>();

  constructor(
    private readonly runLink: RunLink,
    /** Returns a random number from 0 to 1. */
    private readonly random: () => number,
  ) {}

  /** Replaces the addresses to dial; stops dialling those no longer listed. */
  setTargets(addresses: readonly string[]): void {
    const wanted = new Set(addresses);
    [...this.tasks]
      .filter(([address]) => !wanted.has(address))
      .forEach(([address, task]) => {
        task.stop.abort();
        this.tasks.delete(address);
      });
    addresses
      .filter(address => !this.tasks.has(address))
      .forEach(address => this.start(address));
  }

  async [Symbol.asyncDispose](): Promise<void> {
    const tasks = [...this.tasks.values()];
    this.setTargets([]);
    await Promise.all(tasks.map(task => task.done));
  }

  private start(address: string): void {
    const stop = new AbortController();
    this.tasks.set(address, {
      stop,
      done: this.maintainLink(address, stop.signal),
    });
  }

  /**
   * Maintains a link to one address until the signal is aborted, or until the
   * address proves to be this instance's own.
   */
  private async maintainLink(
    address: string,
    signal: AbortSignal,
  ): Promise<void> {
    let backoffMs = INITIAL_BACKOFF_MS;
    while (!signal.aborted) {
      const {wasLinked, err} = await this.runLink(address, signal);
      if (err.kind === 'own_address') return;
      backoffMs = wasLinked
        ? INITIAL_BACKOFF_MS
        : Math.min(2 * backoffMs, MAX_BACKOFF_MS);
      // Full jitter, so that instances that start together do not dial in step.
      const delayMs = backoffMs * this.random();
      await delay(delayMs, undefined, {signal}).catch(() => undefined);
    }
  }
}

interface Task {
  readonly stop: AbortController;
  readonly done: Promise<void>;
}
