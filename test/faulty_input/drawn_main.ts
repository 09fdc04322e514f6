/**
 * `npm run faulty:inputs -- FIRST_SEED COUNT [all|DOOR,DOOR [LEFT_OUT]]`: plays so many
 * drawn inputs in batches, each with a seed and with programs of its own, and says what
 * broke. Inputs whose JSON matches the expression LEFT_OUT are not sent.
 */
import {playDrawnInputs} from './drawn_run';

const BATCH = 5_000;

async function main(): Promise<void> {
  const [first = '1', count = '1000', doors = 'all', leftOut] =
    process.argv.slice(2);
  let seed = Number(first);
  for (let left = Number(count); left > 0; left -= BATCH) {
    const result = await playDrawnInputs({
      seed,
      count: Math.min(left, BATCH),
      doors: doors === 'all' ? undefined : doors.split(','),
      leftOut: leftOut === undefined ? undefined : new RegExp(leftOut),
    });
    process.stdout.write(`${JSON.stringify(result)}\n`);
    process.exitCode = result.broken.length > 0 ? 1 : process.exitCode;
    seed += 1;
  }
}

main()
  .catch((error: Error) => {
    process.stderr.write(`${error.stack}\n`);
    process.exitCode = 1;
  })
  .finally(() => process.exit());
