/**
 * Packs the programs of the deploy file: each becomes one file, and its code is
 * compiled with the flags that it runs with. It is part of the build.
 */
import {spawnSync} from 'node:child_process';
import {readFileSync} from 'node:fs';
import {buildSync} from 'esbuild';
import {parse} from 'smol-toml';
import {z} from 'zod';

const DEPLOY_FILE = 'deploy/system.toml';
/** What a program exits with that was started without settings, as here. */
const EXIT_USAGE = 2;

const DeployFile = z.object({
  roles: z.record(z.string(), z.object({run: z.string()})),
});

/** The words of a role's command: `node [FLAGS] LAUNCHER PROGRAM`. */
function splitCommand(run: string) {
  const [, ...words] = run.split(' ');
  const flags = words.filter(word => word.startsWith('--'));
  const [launcher, program] = words.filter(word => !word.startsWith('--'));
  if (launcher === undefined || program === undefined) {
    throw new Error(
      `${DEPLOY_FILE}: "${run}" must be: node [FLAGS] LAUNCHER PROGRAM`,
    );
  }
  return {flags, launcher, program};
}

function packProgram(program: string): void {
  buildSync({
    entryPoints: [`target/platform/bin/${program}.js`],
    outfile: `target/packed/${program}.js`,
    bundle: true,
    platform: 'node',
    target: 'node20',
    // Names stay, since they stand in logs and stack traces.
    minifyWhitespace: true,
    minifySyntax: true,
    // An optional addon that is not installed here.
    external: ['cbor-extract'],
    logLevel: 'warning',
  });
}

/** Starts it without settings, so that it ends by itself after loading all. */
function compileProgram({
  flags,
  launcher,
  program,
}: ReturnType<typeof splitCommand>): void {
  const args = [...flags, launcher, program, '--write-code'];
  const {status, stderr} = spawnSync(process.execPath, args, {
    env: {},
    encoding: 'utf8',
  });
  if (status !== EXIT_USAGE) {
    throw new Error(`${program} ended with ${status} while packed: ${stderr}`);
  }
}

const {roles} = DeployFile.parse(parse(readFileSync(DEPLOY_FILE, 'utf8')));
for (const {run} of Object.values(roles)) {
  const command = splitCommand(run);
  packProgram(command.program);
  compileProgram(command);
}
