/** Guards against a process that counts as alive because its port is the last that it closes. */
import * as net from 'node:net';
import {afterEach, expect, test} from 'vitest';
import {ServerAddress} from '../../src/common/server_address';
import {probeListener} from '../../src/transport/probe_listener';

const closers: Array<() => unknown> = [];

afterEach(() => {
  closers.splice(0).forEach(close => close());
});

async function listen(onConnection: (socket: net.Socket) => void) {
  const server = net.createServer(socket => {
    socket.on('error', () => undefined);
    closers.push(() => socket.destroy());
    onConnection(socket);
  });
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  closers.push(() => server.close());
  const {port} = server.address() as net.AddressInfo;
  return {server, address: `127.0.0.1:${port}`};
}

test('a server that keeps the connection listens', async () => {
  const {address} = await listen(() => undefined);
  expect(await probeListener(ServerAddress.parse(address))).toBe('listens');
});

test('a server that closes its port after the connection was made refuses', async () => {
  const {server, address} = await listen(socket => {
    server.close();
    socket.resetAndDestroy();
  });
  expect(await probeListener(ServerAddress.parse(address))).toBe('refuses');
});

test('a server without room for a connection listens', async () => {
  const {address} = await listen(socket => socket.resetAndDestroy());
  expect(await probeListener(ServerAddress.parse(address))).toBe('listens');
});

test('a closed port refuses', async () => {
  const {server, address} = await listen(() => undefined);
  await new Promise(resolve => server.close(resolve));
  expect(await probeListener(ServerAddress.parse(address))).toBe('refuses');
});
