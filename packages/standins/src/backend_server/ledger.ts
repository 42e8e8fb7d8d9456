/** Record of what a backend server did, for checks after a run. */

/** Counters of the runs of all requests with the same key. */
export interface RunCounts {
  /** Runs started. */
  count: number;
  /** Runs completed. */
  finished: number;
  /** Runs ended early by a closed connection or a crash. */
  cancelled: number;
}

/** The ledger, as `GET /control/ledger` returns it. Times are Unix ms. */
export interface LedgerReport {
  /** By idempotency key, or by request id for requests without one. */
  readonly runs: Readonly<Record<string, Readonly<RunCounts>>>;
  /** Keys of the requests that were shed without being run. */
  readonly shed: readonly string[];
  /** Keys of the requests that were cancelled before they ran. */
  readonly cancelledWaiting: readonly string[];
  /** Times of the requests to the load endpoint. */
  readonly probes: readonly number[];
  /** Arrival times of requests received while draining. */
  readonly workAfterDraining: readonly number[];
  /** When draining began; absent if the server is not draining. */
  readonly drainingSince?: number;
  /** Highest number of requests that ran concurrently. */
  readonly maxConcurrent: number;
}

/** Records runs, shed requests, probes and requests received while draining. */
export class Ledger {
  private readonly runs = new Map<string, RunCounts>();
  private readonly shed: string[] = [];
  private readonly cancelledWaiting: string[] = [];
  private readonly probes: number[] = [];
  private readonly workAfterDraining: number[] = [];
  private drainingSince: number | undefined;
  private runningCount = 0;
  private maxConcurrent = 0;

  /**
   * @param keepsKeys Whether to record each request under its own key; if false,
   *   all share an empty key.
   */
  constructor(private readonly keepsKeys: boolean) {}

  /** Number of requests that are running. */
  get inFlight(): number {
    return this.runningCount;
  }

  /**
   * Records the start of a run. Pass the result to {@link recordFinish} or
   * {@link recordCancel}.
   */
  recordStart(key: string): RunCounts {
    const runs = this.countsFor(key);
    runs.count++;
    this.runningCount++;
    this.maxConcurrent = Math.max(this.maxConcurrent, this.runningCount);
    return runs;
  }

  /** Records that a run completed. */
  recordFinish(runs: RunCounts): void {
    runs.finished++;
    this.runningCount--;
  }

  /** Records that a closed connection or a crash ended a run early. */
  recordCancel(runs: RunCounts): void {
    runs.cancelled++;
    this.runningCount--;
  }

  /** Records a run that failed immediately, without taking a slot. */
  recordFailure(key: string): void {
    const runs = this.countsFor(key);
    runs.count++;
    runs.finished++;
  }

  /** Records a request shed because the queue was full or it expired. */
  recordShed(key: string): void {
    this.shed.push(this.keepsKeys ? key : '');
  }

  /** Records a request that was cancelled before it ran. */
  recordCancelledWaiting(key: string): void {
    this.cancelledWaiting.push(this.keepsKeys ? key : '');
  }

  /** Records a request to the load endpoint. */
  recordProbe(nowUnixMs: number): void {
    this.probes.push(nowUnixMs);
  }

  /** Records whether the server is draining. */
  recordDraining(draining: boolean, nowUnixMs: number): void {
    if (!draining) this.drainingSince = undefined;
    else this.drainingSince ??= nowUnixMs;
  }

  /** Records the arrival of a request, if the server is draining. */
  recordArrival(nowUnixMs: number): void {
    if (this.drainingSince === undefined) return;
    this.workAfterDraining.push(nowUnixMs);
  }

  /** Everything recorded so far. */
  report(): LedgerReport {
    return {
      runs: Object.fromEntries(this.runs),
      shed: this.shed,
      cancelledWaiting: this.cancelledWaiting,
      probes: this.probes,
      workAfterDraining: this.workAfterDraining,
      drainingSince: this.drainingSince,
      maxConcurrent: this.maxConcurrent,
    };
  }

  private countsFor(requestKey: string): RunCounts {
    const key = this.keepsKeys ? requestKey : '';
    const known = this.runs.get(key);
    if (known !== undefined) return known;
    const runs = {count: 0, finished: 0, cancelled: 0};
    this.runs.set(key, runs);
    return runs;
  }
}
