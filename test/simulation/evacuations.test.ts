/** Guards against the loss of an acknowledged evacuation, on drawn days of the real quorum code. */
import {expect, test} from 'vitest';
import {playDay} from './play_day';
import {drawEvacuationDay} from './quorum_day';

/** First seeds of 20 days each; `npm run simulate -- 1 1000 4 evacuation` plays more. */
const BATCH = 20;
const FIRST_SEEDS = Array.from({length: 5}, (_, at) => 1 + at * BATCH);

test.each(FIRST_SEEDS)(
  `no evacuation is lost over ${BATCH} drawn days from %d on`,
  async first => {
    const broken: string[] = [];
    let acknowledged = 0;
    for (let seed = first; seed < first + BATCH; seed += 1) {
      const result = await playDay(drawEvacuationDay(seed));
      acknowledged += result.evacuations ?? 0;
      if (result.broken !== undefined) {
        broken.push(`seed ${seed}: ${result.broken}`);
      }
    }
    expect(broken).toEqual([]);
    expect(acknowledged).toBeGreaterThan(BATCH);
  },
);
