/** What the followers of the tables tell each other of the store itself. */

/** Whether the store answers, and whether it was restored from a copy. */
export class StoreWatch {
  private era: number | undefined;
  private readonly returnListeners = new Set<() => void>();
  private readonly lossListeners = new Set<() => void>();
  private readonly eraListeners = new Set<(era: number) => void>();

  /** Calls `listener` when the store answers again after an outage. */
  onReturn(listener: () => void): void {
    this.returnListeners.add(listener);
  }

  /** Calls `listener` when the store does not answer a call. */
  onLoss(listener: () => void): void {
    this.lossListeners.add(listener);
  }

  /** Calls `listener` with the new era when the store was restored. */
  onRestored(listener: (era: number) => void): void {
    this.eraListeners.add(listener);
  }

  /** Records that the store did not answer a call. */
  recordLoss(): void {
    this.lossListeners.forEach(listener => listener());
  }

  /** Records that the store answers again. */
  recordReturn(): void {
    this.returnListeners.forEach(listener => listener());
  }

  /** Records the era that an answer of the store names. */
  recordEra(era: number): void {
    const before = this.era;
    this.era = era;
    if (before === undefined || era === before) return;
    this.eraListeners.forEach(listener => listener(era));
  }
}
