/** Drawn days that end with the loss of all power or two disks, and a recovery that is disturbed. */
import {describe, expect, test} from 'vitest';
import {FAILED_RECOVERY_SEEDS} from './failed_recovery_seeds';
import {playDay} from './play_day';
import {drawRecoveryDay} from './recovery_day';

const BATCH = 20;
const FIRST_SEEDS = Array.from({length: 5}, (_, at) => 1 + at * BATCH);

describe('a quorum finds a leader within seconds of its last survivor', () => {
  test.each(FIRST_SEEDS)(`over ${BATCH} drawn days from %d on`, async first => {
    const broken: string[] = [];
    for (let seed = first; seed < first + BATCH; seed += 1) {
      const result = await playDay(drawRecoveryDay(seed));
      if (result.broken !== undefined) {
        broken.push(`seed ${seed}: ${result.broken}`);
      }
    }
    expect(broken).toEqual([]);
  });

  test.each([...FAILED_RECOVERY_SEEDS])('on day %d (%s)', async seed => {
    expect((await playDay(drawRecoveryDay(seed))).broken).toBeUndefined();
  });
});
