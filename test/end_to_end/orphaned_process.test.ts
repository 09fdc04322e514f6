import {expect, test} from 'vitest';
import {ManagedProcess} from '../support/managed_process';

test('a process started by a test exits when its stdin closes, as it does when the test process ends', async () => {
  const args = [
    ...[
      '--host-id',
      'h1',
      '--zone',
      'z',
      '--domain',
      'd',
      '--listen',
      '127.0.0.1:0',
    ],
    ...['--announce-listen', '127.0.0.1:0', '--control', '127.0.0.1:1'],
  ];
  const script = 'src/bin/whinreel_host.js';
  const host = await ManagedProcess.create({label: 'h1', script, args});
  host.closeInput();

  expect(await host.exited).toBe(1);
});
