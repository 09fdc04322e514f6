import {execFile} from 'node:child_process';
import {mkdtempSync, readFileSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import * as path from 'node:path';
import {beforeAll, expect, test} from 'vitest';

const BIN = path.resolve(__dirname, '../../build/src/bin');
const EXAMPLES = path.resolve(__dirname, '../../examples');
const folder = mkdtempSync(path.join(tmpdir(), 'whinreel-cli-'));

interface RunResult {
  readonly code: number;
  readonly stdout: string;
  readonly stderr: string;
}

function run(args: readonly string[], bin = 'whinreel.js'): Promise<RunResult> {
  return new Promise(resolve => {
    execFile(
      process.execPath,
      [path.join(BIN, bin), ...args],
      {cwd: folder},
      (error, stdout, stderr) => {
        resolve({code: Number(error?.code ?? 0), stdout, stderr});
      },
    );
  });
}

beforeAll(async () => {
  await run(['keys', 'create', 'alice']);
});

test('existing key files are never overwritten', async () => {
  const before = readFileSync(path.join(folder, 'alice.pem'), 'utf8');
  const again = await run(['keys', 'create', 'alice']);

  expect(again.code).toBe(2);
  expect(again.stderr).toMatch(/^whinreel: EEXIST.*\n$/);
  expect(readFileSync(path.join(folder, 'alice.pem'), 'utf8')).toBe(before);
});

test('both example bundles are well-formed and can be signed, shown and compared', async () => {
  const kura = path.join(EXAMPLES, 'kura.yaml');
  const linen = path.join(EXAMPLES, 'tbilisi-linen.yaml');
  const checked = await run(['bundle', 'check', kura]);
  const signed = await run([
    'bundle',
    'sign',
    linen,
    '--key',
    'alice.pem',
    '--out',
    'v1.json',
  ]);
  const shown = await run(['--json', 'bundle', 'show', 'v1.json']);
  const compared = await run(['bundle', 'diff', kura, linen]);

  expect([checked, signed, shown, compared].map(({code}) => code)).toEqual([
    0, 0, 0, 0,
  ]);
  expect(checked.stdout).toMatch(/^kura version 1 is well-formed/);
  expect(JSON.parse(shown.stdout)).toMatchObject({
    bundle: {operator: 'tbilisi-linen'},
  });
  expect(compared.stdout).toMatch(/^operator +"kura" +"tbilisi-linen"$/m);
});

test.each([
  ['version: [', /^whinreel: wrong\.yaml: /],
  ['operator: kura\nversion: 0\n', /^whinreel: wrong\.yaml: version: /],
  [
    'operator: kura\nversion: 1\nspeed: 3\n',
    /^whinreel: wrong\.yaml: (workspaces|bundle): /,
  ],
])(
  'an invalid bundle is reported in one line, with exit code 2 (%#)',
  async (text, message) => {
    writeFileSync(path.join(folder, 'wrong.yaml'), text);
    const result = await run(['bundle', 'check', 'wrong.yaml']);

    expect(result.code).toBe(2);
    expect(result.stderr).toMatch(message);
    expect(result.stderr.trim().split('\n')).toHaveLength(1);
  },
);

test('a truncated or missing signed bundle is reported in one line, with exit code 2', async () => {
  writeFileSync(path.join(folder, 'cut.json'), '{"document": "');
  for (const file of ['cut.json', 'nothing.json']) {
    const result = await run([
      '--control',
      '127.0.0.1:1',
      'bundle',
      'roll-out',
      file,
    ]);

    expect(result.code).toBe(2);
    expect(result.stderr.trim().split('\n')).toHaveLength(1);
  }
});

test('an unreachable control is reported with exit code 4', async () => {
  const result = await run([
    '--control',
    '127.0.0.1:1',
    '--timeout-ms',
    '300',
    'status',
  ]);

  expect(result.code).toBe(4);
  expect(result.stderr).toMatch(/^whinreel: control is not reachable/);
});

test('an invalid setting of a daemon is reported in one line that names the flag, with exit code 2', async () => {
  const args = [
    '--entry-id',
    'e',
    '--zone',
    'z',
    '--listen',
    'x',
    '--control',
    '127.0.0.1:1',
  ];
  const result = await run(args, 'whinreel_entry.js');

  expect(result.code).toBe(2);
  expect(result.stderr).toBe(
    'whinreel-entry: --listen (or WHINREEL_LISTEN) is "x": expected an address like 127.0.0.1:7000 ' +
      '(see whinreel-entry --help)\n',
  );
});

test('--help of every program exits with code 0', async () => {
  for (const bin of [
    'whinreel.js',
    'whinreel_entry.js',
    'whinreel_host.js',
    'whinreel_control.js',
  ]) {
    const result = await run(['--help'], bin);

    expect(result.code).toBe(0);
    expect(result.stdout).toContain('Usage: whinreel');
  }
});

test.each([
  [
    ['--timeout-ms', 'soon', 'status'],
    '--timeout-ms is "soon": expected a whole number',
  ],
  [['watch', '--from', '-1'], '--from is "-1": expected a whole number'],
  [
    ['explain', 'weather', 'x'],
    "error: command-argument value 'weather' is invalid",
  ],
])(
  'an invalid argument of a command is reported, with exit code 2 (%#)',
  async (args, message) => {
    const result = await run(['--control', '127.0.0.1:1', ...args]);

    expect(result.code).toBe(2);
    expect(result.stderr).toContain(message);
  },
);
