/** Signals that stop the process. */

const SIGNALS = ['SIGTERM', 'SIGINT'] as const;

/** Reports the first and the second stop signal. */
export class StopSignals implements Disposable {
  /** Resolves at the first signal, which starts a graceful stop. */
  readonly first: Promise<void>;
  /** Resolves at the second signal, which stops the process at once. */
  readonly second: Promise<void>;
  private readonly resolvers: (() => void)[] = [];
  private readonly onSignal = () => this.resolvers.shift()?.();

  constructor() {
    this.first = this.next();
    this.second = this.next();
    SIGNALS.forEach(signal => process.on(signal, this.onSignal));
  }

  [Symbol.dispose](): void {
    SIGNALS.forEach(signal => process.off(signal, this.onSignal));
  }

  private next(): Promise<void> {
    return new Promise(resolve => this.resolvers.push(resolve));
  }
}
