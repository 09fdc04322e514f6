/**
 * Load: all processes start again at the same moment, each with half a core. A
 * program that was packed listened 0.3 to 0.5 s sooner there (one day's logs).
 */
import {spawnSync} from 'node:child_process';
import {cpSync, mkdirSync, mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import * as path from 'node:path';
import {afterEach, beforeEach, expect, test} from 'vitest';

const BUILD = path.resolve(__dirname, '../../build/platform');
const FLAG = '--max-old-space-size=64';
let folder: string;

beforeEach(() => {
  folder = mkdtempSync(path.join(tmpdir(), 'whinreel-launch-'));
  for (const file of ['bin/launch.js', 'ignore_sighup.js']) {
    cpSync(path.join(BUILD, file), path.join(folder, 'platform', file));
  }
  mkdirSync(path.join(folder, 'packed'));
  writeFileSync(
    path.join(folder, 'packed/program.js'),
    'console.log("runs in", require("node:path").basename(__dirname));',
  );
});

afterEach(() => rmSync(folder, {recursive: true, force: true}));

function launch(flags: readonly string[], ...args: readonly string[]) {
  const launcher = path.join(folder, 'platform/bin/launch.js');
  const {stdout, stderr} = spawnSync(
    process.execPath,
    [...flags, launcher, 'program', ...args],
    {encoding: 'utf8'},
  );
  return {stdout, stderr};
}

const RAN = 'runs in packed\n';

test('a packed program runs with the code that was compiled for it', () => {
  launch([FLAG], '--write-code');
  expect(launch([FLAG])).toEqual({stdout: RAN, stderr: ''});
});

test('a program whose code was compiled with other flags runs and says so', () => {
  launch([FLAG], '--write-code');
  const {stdout, stderr} = launch(['--max-old-space-size=65']);
  expect(stdout).toBe(RAN);
  expect(stderr).toContain('the compiled code does not fit');
});

test('a program without compiled code runs and says so', () => {
  const {stdout, stderr} = launch([FLAG]);
  expect(stdout).toBe(RAN);
  expect(stderr).toContain('no compiled code');
});
