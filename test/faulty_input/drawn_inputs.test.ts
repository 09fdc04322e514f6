import {expect, test} from 'vitest';
import {playDrawnInputs} from './drawn_run';

/** More seeds are played by hand: `npm run faulty:inputs`. */
const SEED = 1;
const COUNT = 3_000;
const LIMIT_MS = 120_000;

test(
  'odd inputs at every door end no process and cost a sound service nothing',
  async () => {
    const {broken, soundServed, outcomes} = await playDrawnInputs({
      seed: SEED,
      count: COUNT,
    });

    expect(broken).toEqual([]);
    expect(soundServed).toBeGreaterThan(0);
    // Each door is reached, and takes what is sound.
    expect(outcomes).toMatchObject({
      'caller 200': expect.any(Number),
      'answer 200': expect.any(Number),
      'registration used': expect.any(Number),
      'configuration 200': expect.any(Number),
      'call 200': expect.any(Number),
    });
  },
  LIMIT_MS,
);
