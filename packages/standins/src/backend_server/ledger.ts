/** Record of what a backend server did, for checks after a run. */

/** The runs of the requests with one key. */
export interface RunCounts {
  /** Runs that started. */
  count: number;
  /** Runs that came to their end. */
  finished: number;
  /** Runs that a closed connection or a crash ended. */
  cancelled: number;
}

/** The ledger, as the control endpoint answers it. Times are Unix ms. */
export interface LedgerReport {
  /** By idempotency key or else by request id. */
  readonly runs: Readonly<Record<string, Readonly<RunCounts>>>;
  /** Keys of the requests that were shed, not run. */
  readonly shed: readonly string[];
  /** Keys of the requests that were cancelled while they waited, not run. */
  readonly cancelledWaiting: readonly string[];
  readonly probes: readonly number[];
  /** Arrivals of requests while the server drained. */
  readonly workAfterDraining: readonly number[];
  /** Start of the draining; absent if the server doesn't drain. */
  readonly drainingSince?: number;
  /** Highest number of requests that ran at the same time. */
  readonly maxConcurrent: number;
}

/** Records runs, sheds, probes and work received while draining. */
export class Ledger {
  private readonly runs = new Map<string, RunCounts>();
  private readonly shed: string[] = [];
  private readonly cancelledWaiting: string[] = [];
  private readonly probes: number[] = [];
  private readonly workAfterDraining: number[] = [];
  private drainingSince: number | undefined;
  private running = 0;
  private maxConcurrent = 0;

  /** @param keyed Whether runs are told apart; else all have an empty key. */
  constructor(private readonly keyed: boolean) {}

  /** Requests that run now. */
  get inFlight(): number {
    return this.running;
  }

  /** Records that a run starts; the result is handed to one of the ends. */
  recordStart(key: string): RunCounts {
    const runs = this.runsOf(key);
    runs.count++;
    this.running++;
    this.maxConcurrent = Math.max(this.maxConcurrent, this.running);
    return runs;
  }

  /** Records that a run came to its end. */
  recordFinish(runs: RunCounts): void {
    runs.finished++;
    this.running--;
  }

  /** Records that a closed connection or a crash ended a run. */
  recordCancel(runs: RunCounts): void {
    runs.cancelled++;
    this.running--;
  }

  /** Records a run that failed at once, without a slot. */
  recordFailure(key: string): void {
    const runs = this.runsOf(key);
    runs.count++;
    runs.finished++;
  }

  /** Records a request that was not run for want of a slot or of time. */
  recordShed(key: string): void {
    this.shed.push(this.keyed ? key : '');
  }

  /** Records a request that was cancelled before it ran. */
  recordCancelledWaiting(key: string): void {
    this.cancelledWaiting.push(this.keyed ? key : '');
  }

  /** Records a request to the load endpoint. */
  recordProbe(nowUnixMs: number): void {
    this.probes.push(nowUnixMs);
  }

  /** Records that the server starts or stops to drain. */
  recordDraining(draining: boolean, nowUnixMs: number): void {
    if (!draining) this.drainingSince = undefined;
    else this.drainingSince ??= nowUnixMs;
  }

  /** Records the arrival of a request. */
  recordArrival(nowUnixMs: number): void {
    if (this.drainingSince === undefined) return;
    this.workAfterDraining.push(nowUnixMs);
  }

  /** The record so far. */
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

  private runsOf(requestKey: string): RunCounts {
    const key = this.keyed ? requestKey : '';
    const known = this.runs.get(key);
    if (known !== undefined) return known;
    const runs = {count: 0, finished: 0, cancelled: 0};
    this.runs.set(key, runs);
    return runs;
  }
}
