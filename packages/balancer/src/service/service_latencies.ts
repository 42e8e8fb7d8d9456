/** Measured latencies of the calls of a service, by contract. */

/** Weight of the newest sample in the exponential moving average. */
const MEAN_WEIGHT = 0.02;
/** Number of first samples for which the mean is their arithmetic mean. */
const AVERAGED_SAMPLES = 1 / MEAN_WEIGHT;
/**
 * Number of samples from which single latencies can be compared with the mean.
 */
const COMPARABLE_SAMPLES = 20;
/** Relative step size of the quantile estimate. */
const QUANTILE_STEP = 0.05;
/** The estimated quantile. */
const QUANTILE = 0.95;
/**
 * Lower bound for the mean in multiples, milliseconds. Below it, the timing
 * noise of this process exceeds the differences between servers.
 */
const MIN_MEAN_MS = 1;
/** Latency assumed before the first sample, milliseconds. */
const INITIAL_LATENCY_MS = 10;

/** Running estimates of the mean and the 95th percentile of a latency. */
export class LatencyEstimate {
  private samples = 0;
  private mean = INITIAL_LATENCY_MS;
  private quantile = INITIAL_LATENCY_MS;

  /** Mean, milliseconds. */
  get meanMs(): number {
    return this.mean;
  }

  /** 95th percentile, milliseconds. */
  get p95Ms(): number {
    return Math.max(this.mean, this.quantile);
  }

  /** Whether there are enough samples to rely on the estimates. */
  get isKnown(): boolean {
    return this.samples >= AVERAGED_SAMPLES;
  }

  /**
   * Whether there are enough samples to compare single latencies with the mean.
   */
  get isComparable(): boolean {
    return this.samples >= COMPARABLE_SAMPLES;
  }

  /** Returns a latency as a multiple of the mean. */
  multipleOf(ms: number): number {
    return ms / Math.max(this.mean, MIN_MEAN_MS);
  }

  /** Adds the latency of one answer. */
  record(ms: number): void {
    this.samples += 1;
    const weight = Math.max(MEAN_WEIGHT, 1 / this.samples);
    this.mean += weight * (ms - this.mean);
    this.recordQuantile(ms);
  }

  // Stochastic approximation: the steps up and down balance when 5 of 100
  // samples exceed the estimate. It stores one number instead of a histogram.
  private recordQuantile(ms: number): void {
    if (this.samples === 1) this.quantile = 2 * ms;
    else if (ms > this.quantile) this.quantile *= 1 + QUANTILE_STEP * QUANTILE;
    else this.quantile *= 1 - QUANTILE_STEP * (1 - QUANTILE);
  }
}

/** Latency estimates of one service. */
export class ServiceLatencies {
  /** Latency of all calls, regardless of their contract. */
  readonly all = new LatencyEstimate();
  private readonly contracts = new Map<string, LatencyEstimate>();

  /** Returns the latency of the calls of a contract. */
  of(contract: string): LatencyEstimate {
    const known = this.contracts.get(contract);
    if (known) return known;
    const latency = new LatencyEstimate();
    this.contracts.set(contract, latency);
    return latency;
  }

  /** Drops the estimates of contracts that are not in `names`. */
  retain(names: ReadonlySet<string>): void {
    [...this.contracts.keys()]
      .filter(name => !names.has(name))
      .forEach(name => this.contracts.delete(name));
  }
}
