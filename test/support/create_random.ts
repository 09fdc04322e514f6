import {unsafeUniformIntDistribution, xoroshiro128plus} from 'pure-rand';

/** Numbers that are drawn, as many as a random word has. */
const RANGE = 2 ** 32;

/**
 * Creates a source of numbers, uniform in [0, 1), that repeats with its seed.
 *
 * @example
 * const random = createRandom(7);
 */
export function createRandom(seed: number): () => number {
  const generator = xoroshiro128plus(seed);
  return () => unsafeUniformIntDistribution(0, RANGE - 1, generator) / RANGE;
}
