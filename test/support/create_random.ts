import {unsafeUniformIntDistribution, xoroshiro128plus} from 'pure-rand';

/** The number of values of a 32-bit random word. */
const RANGE = 2 ** 32;

/**
 * Creates a seeded random number generator, uniform in [0, 1).
 *
 * @example
 * const random = createRandom(7);
 */
export function createRandom(seed: number): () => number {
  const generator = xoroshiro128plus(seed);
  return () => unsafeUniformIntDistribution(0, RANGE - 1, generator) / RANGE;
}
