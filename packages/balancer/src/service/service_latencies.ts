/** Measured latencies of a service's calls, by contract. */

/** Weight of the newest sample in a mean. */
const MEAN_WEIGHT = 0.02;
/** Samples during which a mean is the plain average of what came so far. */
const AVERAGED_SAMPLES = 1 / MEAN_WEIGHT;
/** Samples from which single latencies are compared with the mean. */
const COMPARABLE_SAMPLES = 20;
/** Step of the quantile, as a share of it. */
const QUANTILE_STEP = 0.05;
/** The quantile that is tracked. */
const QUANTILE = 0.95;
/**
 * Least mean that a multiple refers to, milliseconds: below it the noise of
 * this process is larger than the differences between servers.
 */
const MIN_MEAN_MS = 1;
/** Latency that is assumed before the first sample, milliseconds. */
const INITIAL_LATENCY_MS = 10;

/** Latency of one kind of call. */
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

  /** Whether there are enough samples to act on the percentile. */
  get isKnown(): boolean {
    return this.samples >= AVERAGED_SAMPLES;
  }

  /** Whether the mean is good enough to compare single latencies with it. */
  get isComparable(): boolean {
    return this.samples >= COMPARABLE_SAMPLES;
  }

  /** Returns a latency as a multiple of the mean. */
  multipleOf(ms: number): number {
    return ms / Math.max(this.mean, MIN_MEAN_MS);
  }

  /** Takes in the latency of one answer. */
  observe(ms: number): void {
    this.samples += 1;
    const weight = Math.max(MEAN_WEIGHT, 1 / this.samples);
    this.mean += weight * (ms - this.mean);
    this.observeQuantile(ms);
  }

  // Stochastic approximation: the steps balance when 5 of 100 samples are
  // above. It needs one number in place of a histogram for each contract.
  private observeQuantile(ms: number): void {
    if (this.samples === 1) this.quantile = 2 * ms;
    else if (ms > this.quantile) this.quantile *= 1 + QUANTILE_STEP * QUANTILE;
    else this.quantile *= 1 - QUANTILE_STEP * (1 - QUANTILE);
  }
}

/** Latencies of one service. */
export class ServiceLatencies {
  /** Latency of all calls, whatever their contract. */
  readonly all = new LatencyEstimate();
  private readonly contracts = new Map<string, LatencyEstimate>();

  /** Latency of the calls of one contract. */
  of(contract: string): LatencyEstimate {
    const known = this.contracts.get(contract);
    if (known) return known;
    const latency = new LatencyEstimate();
    this.contracts.set(contract, latency);
    return latency;
  }

  /** Forgets the contracts that are not in `names`. */
  retain(names: ReadonlySet<string>): void {
    [...this.contracts.keys()]
      .filter(name => !names.has(name))
      .forEach(name => this.contracts.delete(name));
  }
}
