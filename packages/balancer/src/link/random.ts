/** Seeded random numbers, so that every run of a test draws the same ones. */
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

/** A source of random whole numbers. */
export interface Random {
  /** Returns a whole number from 0 to `bound` - 1; `bound` is at most 65,536. */
  nextInt(bound: number): number;
}

/** Random numbers that follow from a seed. */
export class SeededRandom implements Random {
  private readonly generator;

  constructor(seed: number) {
    this.generator = xoroshiro128plus(seed);
  }

  nextInt(bound: number): number {
    // The high bits; the bias below 2^16 of 2^32 is of no account here.
    return (((this.generator.next() >>> 0) * bound) / 0x1_0000_0000) | 0;
  }
}
