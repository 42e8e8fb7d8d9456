/** Seeded random numbers, so that runs can be repeated. */
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import type {RandomGenerator} from 'pure-rand/types/RandomGenerator';

/** Returns a random generator with the given seed. */
export function seededRandom(seed: number): RandomGenerator {
  return xoroshiro128plus(seed);
}
