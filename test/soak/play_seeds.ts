/** A run that is over. */
interface PlayedRun {
  /** What the line of output holds. */
  describe(): object;
  readonly broken: readonly string[];
}

type Play = (options: {seed: number; durationMs: number}) => Promise<PlayedRun>;

/**
 * Plays the seeds that the command line names (FIRST_SEED COUNT SECONDS), one
 * after the other, prints a line for each and exits; with 1 if one broke something.
 *
 * @example
 * playSeeds(options => SoakRun.play(options));
 */
export function playSeeds(play: Play): void {
  playAll(play)
    .catch((error: Error) => {
      process.stderr.write(`${error.stack}\n`);
      process.exitCode = 1;
    })
    // Node 20 itself has looped for good while it frees connections that were reset.
    .finally(() => process.exit());
}

async function playAll(play: Play): Promise<void> {
  const [first = '1', count = '1', seconds = '20'] = process.argv.slice(2);
  for (let at = 0; at < Number(count); at += 1) {
    const seed = Number(first) + at;
    const run = await play({seed, durationMs: Number(seconds) * 1_000});
    process.stdout.write(`${JSON.stringify(run.describe())}\n`);
    process.exitCode = run.broken.length > 0 ? 1 : process.exitCode;
  }
}
