/** Random service times of a backend server's requests. */
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {skipN} from 'pure-rand/utils/skipN';

/** Supported distributions of the service time. */
export const ServiceTimeDistribution = {
  Fixed: 'fixed',
  Exponential: 'exponential',
} as const;

/** One of the values of {@link ServiceTimeDistribution}. */
export type ServiceTimeDistribution =
  (typeof ServiceTimeDistribution)[keyof typeof ServiceTimeDistribution];

/**
 * Initial draws to discard: generators with nearby seeds produce similar values
 * at first and diverge after a few draws.
 */
const SKIPPED_DRAWS = 16;

/** Samples service times from a seeded generator. */
export class ServiceTimeSampler {
  private readonly rng;

  /** @param meanMs Mean service time in milliseconds. */
  constructor(
    private readonly meanMs: number,
    private readonly distribution: ServiceTimeDistribution,
    seed: number,
  ) {
    this.rng = xoroshiro128plus(seed);
    skipN(this.rng, SKIPPED_DRAWS);
  }

  /** Samples the next service time, in milliseconds. */
  next(): number {
    switch (this.distribution) {
      case ServiceTimeDistribution.Fixed:
        return this.meanMs;
      case ServiceTimeDistribution.Exponential:
        return -this.meanMs * Math.log(1 - uniformFloat64(this.rng));
    }
  }
}
