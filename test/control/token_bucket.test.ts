import {expect, test} from 'vitest';
import {TokenBucket} from '../../src/control/token_bucket';

const MS_PER_SECOND = 1_000;

/** Counts the tokens that are taken in this time by asking every millisecond. */
function countTaken(perSecond: number, seconds: number): number {
  const bucket = TokenBucket.create(perSecond, 0);
  let taken = 0;
  for (let now = 0; now <= seconds * MS_PER_SECOND; now += 1) {
    taken += bucket.take(perSecond, now) ? 1 : 0;
  }
  return taken;
}

// Guards against a rate that is accepted and at which no model was ever loaded.
test.each([
  [0.05, 100, 5],
  [0.5, 20, 10],
  [0.95, 100, 95],
])(
  'a bucket of %d tokens a second gives them',
  (perSecond, seconds, expected) => {
    const taken = countTaken(perSecond, seconds);
    expect(taken).toBeGreaterThanOrEqual(expected - 3);
    expect(taken).toBeLessThanOrEqual(expected);
  },
);

test('a bucket of three tokens a second never gives more than three at once', () => {
  const bucket = TokenBucket.create(3, 0);
  const taken = [1, 2, 3, 4].map(() => bucket.take(3, 60 * MS_PER_SECOND));
  expect(taken).toEqual([true, true, true, false]);
});
