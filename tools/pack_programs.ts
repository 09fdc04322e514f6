/**
 * Build step that bundles each program of the deploy file into a single file and
 * writes its V8 code cache, with the Node.js flags with which it will run.
 */
import {spawnSync} from 'node:child_process';
import {readFileSync} from 'node:fs';
import {buildSync} from 'esbuild';
import {parse} from 'smol-toml';
import {z} from 'zod';

const DEPLOY_FILE = 'deploy/system.toml';
/** Exit status of a program that is started without settings, as it is here. */
const EXIT_USAGE = 2;

const DeployFile = z.object({
  roles: z.record(z.string(), z.object({run: z.string()})),
});

/** Splits the command of a role, `node [FLAGS] LAUNCHER PROGRAM`. */
function parseCommand(run: string) {
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

function bundleProgram(program: string): void {
  buildSync({
    entryPoints: [`target/platform/bin/${program}.js`],
    outfile: `target/packed/${program}.js`,
    bundle: true,
    platform: 'node',
    target: 'node20',
    // Identifiers are not minified, since they appear in logs and stack traces.
    minifyWhitespace: true,
    minifySyntax: true,
    // An optional native addon of cbor-x that is not installed.
    external: ['cbor-extract'],
    logLevel: 'warning',
  });
}

/** Runs the program once without settings: it loads all its modules, writes the cache and exits. */
function writeCodeCache({
  flags,
  launcher,
  program,
}: ReturnType<typeof parseCommand>): void {
  const args = [...flags, launcher, program, '--write-code'];
  const {status, stderr} = spawnSync(process.execPath, args, {
    env: {},
    encoding: 'utf8',
  });
  if (status !== EXIT_USAGE) {
    throw new Error(
      `${program} exited with ${status} while its code cache was written: ${stderr}`,
    );
  }
}

const {roles} = DeployFile.parse(parse(readFileSync(DEPLOY_FILE, 'utf8')));
for (const {run} of Object.values(roles)) {
  const command = parseCommand(run);
  bundleProgram(command.program);
  writeCodeCache(command);
}
