/** `npm run soak -- FIRST_SEED COUNT SECONDS`: plays seeds one after the other and says what broke. */
import {SoakRun} from './soak_run';

async function main(): Promise<void> {
  const [first = '1', count = '1', seconds = '20'] = process.argv.slice(2);
  for (let at = 0; at < Number(count); at += 1) {
    const seed = Number(first) + at;
    const run = await SoakRun.play({seed, durationMs: Number(seconds) * 1_000});
    process.stdout.write(`${JSON.stringify(run.describe())}\n`);
    process.exitCode = run.broken.length > 0 ? 1 : process.exitCode;
  }
}

main()
  .catch((error: Error) => {
    process.stderr.write(`${error.stack}\n`);
    process.exitCode = 1;
  })
  // Node 20 itself has looped for good while it frees connections that were reset.
  .finally(() => process.exit());
