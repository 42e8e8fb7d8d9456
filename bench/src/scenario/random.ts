/** Seeded random numbers of a run. */
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import type {RandomGenerator} from 'pure-rand/types/RandomGenerator';

/** Returns a generator for a seed. */
export function seededRandom(seed: number): RandomGenerator {
  return xoroshiro128plus(seed);
}
