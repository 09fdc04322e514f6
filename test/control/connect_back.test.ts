import * as net from 'node:net';
import {afterEach, expect, test, vi} from 'vitest';
import {ControlServer} from '../../src/control/control_server';
import {reservePort} from '../support/reserve_port';
import {startSeededControl} from '../support/start_seeded_control';
import {waitUntil} from '../support/wait_until';

// Guards against an election that waits for an attempt to connect from before a machine came back.

/** Time for the hello of the other process, after which an attempt fails. */
const HELLO_TIMEOUT_MS = 2_000;

const closers: Array<() => unknown> = [];

afterEach(async () => {
  for (const close of closers.splice(0).reverse()) {
    await close();
  }
});

/** Keeps attempts without a hello open for good, however slow the machine is. */
function suspendHelloTimeouts(): void {
  const schedule = globalThis.setTimeout;
  const suspended = vi
    .spyOn(globalThis, 'setTimeout')
    .mockImplementation(((callback: () => void, delayMs?: number) =>
      schedule(
        callback,
        delayMs === HELLO_TIMEOUT_MS ? 2 ** 31 - 1 : delayMs,
      )) as typeof setTimeout);
  closers.push(() => suspended.mockRestore());
}

async function start(name: string, seeds: string[]): Promise<ControlServer> {
  const control = await startSeededControl({
    name,
    seeds,
    isFirstStart: true,
    voters: 2,
  });
  closers.push(() => control.close());
  return control;
}

test('a process that connects is connected back while an older attempt still hangs', async () => {
  suspendHelloTimeouts();
  const names = [
    `127.0.0.1:${await reservePort()}`,
    `127.0.0.1:${await reservePort()}`,
  ];
  const hanging: net.Socket[] = [];
  // Accepts and then says nothing, as a machine that goes dark at that moment.
  const dark = net.createServer(socket => {
    socket.on('error', () => undefined).resume();
    hanging.push(socket);
  });
  closers.push(() => hanging.forEach(socket => socket.destroy()));
  const [host, port] = names[1].split(':');
  await new Promise<void>(resolve =>
    dark.listen(Number(port), host, () => resolve()),
  );
  const first = await start(names[0], names);
  await waitUntil('an attempt that hangs', () => hanging.length > 0);
  dark.close();

  const second = await start(names[1], names);
  await waitUntil('a leader', () => first.isLeading || second.isLeading);

  expect(hanging.map(({closed}) => closed)).toEqual([false]);
});
