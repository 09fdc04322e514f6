/** Drawn days of the real quorum code on virtual time, links and disks. */
import {describe, expect, test} from 'vitest';
import {FAILED_SEEDS} from './failed_seeds';
import {playDay} from './play_day';
import {drawDay} from './quorum_day';

/** First seeds of 20 days each, 200 in all: a test of all of them took over a minute beside nine busy processes. */
const BATCH = 20;
const FIRST_SEEDS = Array.from({length: 10}, (_, at) => 1 + at * BATCH);

describe('a quorum keeps what it acknowledged and finds a leader again', () => {
  test.each(FIRST_SEEDS)(`over ${BATCH} drawn days from %d on`, async first => {
    const broken: string[] = [];
    for (let seed = first; seed < first + BATCH; seed += 1) {
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
