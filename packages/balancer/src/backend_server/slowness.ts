/**
 * Slowness of a backend server relative to its service: the moving average of
 * its latencies, each divided by the mean latency of the contract.
 */

/** Weight of a new sample. */
const SAMPLE_WEIGHT = 0.1;
/** Weight of a new sample when the previous one is out of date. */
const STALE_SAMPLE_WEIGHT = 0.4;
/** Age at which the previous sample is out of date, milliseconds. */
const STALE_AFTER_MS = 1_000;
/** Upper bound of a sample, so that the effect of one outlier is short. */
const MAX_MULTIPLE = 50;
/**
 * A running attempt raises the slowness above 1 once its age exceeds the mean
 * latency by this factor.
 */
const RUNNING_AGE_FACTOR = 2;

/** Slowness at which a server counts as a straggler. */
export const STRAGGLER_SLOWNESS = 3;

/** Slowness of one server; 1 is the mean of its service. */
export class Slowness {
  private mean = 1;
  private sampleCount = 0;
  private lastSampleAt = -Infinity;

  /** Mean latency as a multiple of the mean of the service. */
  get multiple(): number {
    return this.mean;
  }

  /** Whether there is at least one sample. */
  get isKnown(): boolean {
    return this.sampleCount > 0;
  }

  /** Whether the server is much slower than the others. */
  get isStraggler(): boolean {
    return this.mean >= STRAGGLER_SLOWNESS;
  }

  /** Records a latency, given as a multiple of the mean of its contract. */
  recordSample(multiple: number, now: number): void {
    // The speed of a server may have changed since its last sample, so a new
    // sample weighs more the longer ago that was.
    const age = Math.min(1, (now - this.lastSampleAt) / STALE_AFTER_MS);
    const weight = SAMPLE_WEIGHT + age * (STALE_SAMPLE_WEIGHT - SAMPLE_WEIGHT);
    this.mean += weight * (Math.min(multiple, MAX_MULTIPLE) - this.mean);
    this.sampleCount += 1;
    this.lastSampleAt = now;
  }

  /**
   * Estimates the slowness from the samples and from the age of the oldest
   * running attempt, because a server that has just become slow has not yet
   * returned a slow answer.
   */
  estimate(oldestAgeMs: number, meanMs: number): number {
    return Math.max(this.mean, oldestAgeMs / (RUNNING_AGE_FACTOR * meanMs));
  }
}
