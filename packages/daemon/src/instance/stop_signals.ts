/** Signals that stop the process. */

const SIGNALS = ['SIGTERM', 'SIGINT'] as const;

/** A signal that stops the process. */
export type StopSignal = (typeof SIGNALS)[number];

/**
 * Reports the first stop signal. Supervisors repeat a signal, or send it from
 * several places: further ones change nothing, as a stop has a time limit of its
 * own. SIGKILL ends the process at once. The listeners stay until the process exits:
 * without one, a signal would end it before its exit code is set.
 */
export class StopSignals {
  /** Resolves at the first signal, which starts a graceful stop. */
  readonly first: Promise<void>;
  private resolveFirst!: () => void;
  private readonly onSignal = (signal: StopSignal) => {
    this.onReceived(signal);
    this.resolveFirst();
  };

  /** @param onReceived Called for each of the signals. */
  constructor(private readonly onReceived: (signal: StopSignal) => void) {
    this.first = new Promise(resolve => (this.resolveFirst = resolve));
    SIGNALS.forEach(signal => process.on(signal, this.onSignal));
  }
}
