import {spawn} from 'node:child_process';
import * as path from 'node:path';
import {expect, test} from 'vitest';

const BUILD = path.resolve(__dirname, '../../build');

async function run(script: string, env: Record<string, string> = {}) {
  const child = spawn(process.execPath, [path.join(BUILD, script)], {
    env: {...process.env, ...env},
  });
  let output = '';
  child.stdout.on('data', data => (output += String(data)));
  const status = await new Promise(resolve => child.once('close', resolve));
  const lines = output.trim().split('\n');
  return {status, last: JSON.parse(lines[lines.length - 1]) as unknown};
}

test('a process that fails after its start logs the error before it exits', async () => {
  expect(await run('test/support/failing_daemon.js')).toMatchObject({
    status: 1,
    last: {
      event: 'process-failed',
      program: 'failing-daemon',
      reason: 'the callback failed',
      error: 'RangeError',
      status: 1,
      stack: expect.stringContaining('failing_daemon.js') as string,
    },
  });
});

test('a process that cannot start logs why before it exits', async () => {
  const env = {WHINREEL_NODE_FILE: '/no/such/file'};

  expect(await run('platform/bin/entry.js', env)).toMatchObject({
    status: 2,
    last: {
      event: 'process-failed',
      program: 'whinreel-entry',
      reason: expect.stringContaining('/no/such/file') as string,
      status: 2,
    },
  });
});
