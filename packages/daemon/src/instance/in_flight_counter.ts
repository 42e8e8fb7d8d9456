/** Counts calls in flight, so that a stop can wait for them. */

/** Counts calls in flight and reports when the count returns to zero. */
export class InFlightCounter {
  private count = 0;
  private emptyWaiters: (() => void)[] = [];

  /** Counts a call until the returned object is disposed of. */
  track(): Disposable {
    this.count += 1;
    return {[Symbol.dispose]: () => this.release()};
  }

  /** Resolves when no call is in flight. */
  async whenEmpty(): Promise<void> {
    if (this.count === 0) return;
    await new Promise<void>(resolve => this.emptyWaiters.push(resolve));
  }

  private release(): void {
    this.count -= 1;
    if (this.count > 0) return;
    this.emptyWaiters.forEach(resolve => resolve());
    this.emptyWaiters = [];
  }
}
