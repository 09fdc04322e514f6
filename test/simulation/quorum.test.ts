/** Drawn days of the real quorum code on virtual time, links and disks. */
import {describe, expect, test} from 'vitest';
import {FAILED_SEEDS} from './failed_seeds';
import {playDay} from './play_day';
import {drawDay} from './quorum_day';

const FIRST_SEED = 1;
const SEEDS = 200;

describe('a quorum keeps what it acknowledged and finds a leader again', () => {
  test(`over ${SEEDS} drawn days`, async () => {
    const broken: string[] = [];
    for (let seed = FIRST_SEED; seed < FIRST_SEED + SEEDS; seed += 1) {
      const result = await playDay(drawDay(seed));
      if (result.broken !== undefined) {
        broken.push(`seed ${seed}: ${result.broken}`);
      }
    }
    expect(broken).toEqual([]);
  });

  test.each([...FAILED_SEEDS])('on day %d (%s)', async seed => {
    expect((await playDay(drawDay(seed))).broken).toBeUndefined();
  });

  test('the same way each time', async () => {
    const [once, again] = [
      await playDay(drawDay(5)),
      await playDay(drawDay(5)),
    ];
    expect(again).toEqual(once);
  });
});
