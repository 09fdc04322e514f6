/**
 * Bundled programs start faster: when all processes restart at the same moment with
 * half a core each, they listen 0.3 to 0.5 s sooner (from the logs of one day). The
 * tests cover the launcher with a valid, a rejected and a missing V8 code cache.
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
  for (const file of ['bin/launch.js', 'take_hangup.js']) {
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

const EXPECTED_STDOUT = 'runs in packed\n';

test('a bundled program runs with its V8 code cache', () => {
  launch([FLAG], '--write-code');
  expect(launch([FLAG])).toEqual({stdout: EXPECTED_STDOUT, stderr: ''});
});

test('a program whose code cache was written with other flags runs and logs it', () => {
  launch([FLAG], '--write-code');
  const {stdout, stderr} = launch(['--max-old-space-size=65']);
  expect(stdout).toBe(EXPECTED_STDOUT);
  expect(stderr).toContain('the V8 code cache was rejected');
});

test('a program without a code cache runs and logs it', () => {
  const {stdout, stderr} = launch([FLAG]);
  expect(stdout).toBe(EXPECTED_STDOUT);
  expect(stderr).toContain('cannot read the V8 code cache');
});
