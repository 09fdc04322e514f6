/**
 * Plays drawn days of the quorum on all cores.
 *
 * Usage: `npm run simulate -- FIRST_SEED COUNT [CORES] [KIND]`, where KIND is `day`, `recovery` or `evacuation`
 */
import {availableParallelism} from 'node:os';
import {
  Worker,
  isMainThread,
  parentPort,
  workerData,
} from 'node:worker_threads';
import {DayResult} from './day_result';
import {playDay} from './play_day';
import {drawDay, drawEvacuationDay} from './quorum_day';
import {drawRecoveryDay} from './recovery_day';
import {shrinkDay} from './shrink_day';

/** Seeds that one worker plays before it reports. */
const BATCH = 20;
const USAGE =
  'usage: npm run simulate -- FIRST_SEED COUNT [CORES] [day|recovery|evacuation]';
const FIRST_WRONG_EXIT = 2;

/** What may be drawn from a seed. */
const KINDS = {
  day: drawDay,
  recovery: drawRecoveryDay,
  evacuation: drawEvacuationDay,
};

interface Job {
  readonly first: number;
  readonly count: number;
  readonly kind: keyof typeof KINDS;
}

async function runWorker({first, count, kind}: Job): Promise<void> {
  for (let seed = first; seed < first + count; seed += 1) {
    const day = KINDS[kind](seed);
    const result = await playDay(day);
    const story =
      result.broken === undefined
        ? []
        : (await playDay(await shrinkDay(day))).story;
    parentPort?.postMessage({...result, story});
  }
}

/** Reads a whole number from 0 on; undefined for anything else. */
function readCount(text: string | undefined): number | undefined {
  return text !== undefined && /^\d+$/.test(text) ? Number(text) : undefined;
}

function runBatch(job: Job, onResult: (result: DayResult) => void) {
  return new Promise<void>((resolve, reject) => {
    const worker = new Worker(__filename, {workerData: job});
    worker.on('message', onResult);
    worker.on('error', reject);
    worker.on('exit', () => resolve());
  });
}

async function simulate(
  first: number,
  count: number,
  cores: number,
  kind: Job['kind'],
) {
  const results: DayResult[] = [];
  const record = (result: DayResult) => {
    results.push(result);
    if (result.broken !== undefined) {
      console.log(`seed ${result.seed}: ${result.broken}`);
      result.story.forEach(line => console.log(`  ${line}`));
    } else if (results.length % 500 === 0) {
      console.log(`${results.length} of ${count} days played`);
    }
  };
  let next = first;
  const run = async () => {
    while (next < first + count) {
      const size = Math.min(BATCH, first + count - next);
      const job = {first: next, count: size, kind};
      next += BATCH;
      await runBatch(job, record);
    }
  };
  await Promise.all(Array.from({length: cores}, run));
  const times = results
    .flatMap(({leaderAfterMs}) => leaderAfterMs ?? [])
    .sort((left, right) => left - right);
  const broken = results.filter(result => result.broken !== undefined).length;
  const acknowledged = results.reduce(
    (sum, result) => sum + result.acknowledged,
    0,
  );
  const pick = (part: number) =>
    Math.round(times[Math.floor(times.length * part)] ?? NaN);
  console.log(
    `${results.length} days, ${acknowledged} changes acknowledged; a leader after ${pick(0.5)} ms (median), ${pick(0.99)} ms (99 in 100), ${Math.round(times.at(-1) ?? NaN)} ms (longest)`,
  );
  const orders = results.reduce((sum, day) => sum + (day.evacuations ?? 0), 0);
  console.log(`${orders} evacuations and restores acknowledged`);
  console.log(`${broken} broken`);
  return broken;
}

if (!isMainThread) {
  void runWorker(workerData as Job);
} else {
  const [first, count, cores = availableParallelism()] = process.argv
    .slice(2, 5)
    .map(readCount);
  const kind = process.argv[5] ?? 'day';
  const isKnown = Object.hasOwn(KINDS, kind);
  if (first === undefined || !count || !cores || !isKnown) {
    console.error(`two or three whole numbers are needed; ${USAGE}`);
    process.exitCode = FIRST_WRONG_EXIT;
  } else {
    void simulate(first, count, cores, kind as Job['kind']).then(broken => {
      process.exitCode = broken > 0 ? 1 : 0;
    });
  }
}
