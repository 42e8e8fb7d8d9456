/** Seeded random numbers, so that test runs are reproducible. */
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

/** A source of random integers. */
export interface Random {
  /** Returns an integer from 0 to `bound` - 1; `bound` must be at most 65,536. */
  nextInt(bound: number): number;
}

/** A pseudorandom generator that is determined by its seed. */
export class SeededRandom implements Random {
  private readonly generator;

  constructor(seed: number) {
    this.generator = xoroshiro128plus(seed);
  }

  nextInt(bound: number): number {
    // Scales 32 bits to the bound; the bias is negligible for bounds up to 2^16.
    return (((this.generator.next() >>> 0) * bound) / 0x1_0000_0000) | 0;
  }
}
