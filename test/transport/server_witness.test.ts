/** Guards against a process that counts as running because another one listens at its address. */
import * as net from 'node:net';
import {afterEach, expect, test} from 'vitest';
import {ServerAddress} from '../../src/common/server_address';
import {ServerWitness} from '../../src/transport/server_witness';
import {ServerWitnesses} from '../../src/transport/server_witnesses';
import {waitUntil} from '../support/wait_until';

const closers: Array<() => unknown> = [];

afterEach(() => {
  closers.splice(0).forEach(close => close());
});

async function listen(port = 0) {
  const sockets: net.Socket[] = [];
  const server = net.createServer(socket => {
    socket.on('error', () => undefined);
    sockets.push(socket);
    closers.push(() => socket.destroy());
  });
  await new Promise<void>(resolve => server.listen(port, '127.0.0.1', resolve));
  closers.push(() => server.close());
  const {port: actual} = server.address() as net.AddressInfo;
  return {server, sockets, port: actual, address: `127.0.0.1:${actual}`};
}

test('a server that keeps the connection runs', async () => {
  const {address} = await listen();
  const witness = ServerWitness.create(ServerAddress.parse(address));
  closers.push(() => witness.close());
  expect(await witness.check()).toBe('listens');
});

test('a server that has ended is not the one that listens at its address now', async () => {
  const {server, sockets, port, address} = await listen();
  const witness = ServerWitness.create(ServerAddress.parse(address));
  closers.push(() => witness.close());
  await waitUntil('connected', () => sockets.length === 1);
  await new Promise(resolve => setTimeout(resolve, 50));
  server.close();
  sockets[0].end();
  await listen(port);
  expect(await witness.check()).toBe('refuses');
});

test('a closed port refuses', async () => {
  const {server, address} = await listen();
  await new Promise(resolve => server.close(resolve));
  expect(await ServerWitness.create(ServerAddress.parse(address)).check()).toBe(
    'refuses',
  );
});

test('a server without room for the connection runs if it listens at the end', async () => {
  const server = net.createServer(socket => socket.resetAndDestroy());
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  closers.push(() => server.close());
  const {port} = server.address() as net.AddressInfo;
  const witness = ServerWitness.create(
    ServerAddress.parse(`127.0.0.1:${port}`),
  );
  expect(await witness.check()).toBe('listens');
});

test('responses at the same time share a connection, which closes after the last', async () => {
  const {sockets, address} = await listen();
  const witnesses = ServerWitnesses.create();
  const uses = [1, 2, 3].map(() =>
    witnesses.acquire(ServerAddress.parse(address)),
  );
  expect(await Promise.all(uses.map(use => use.check()))).toEqual([
    'listens',
    'listens',
    'listens',
  ]);
  expect(sockets).toHaveLength(1);
  const closed = new Promise(resolve => sockets[0].once('close', resolve));
  sockets[0].resume();
  uses[0].release();
  uses[0].release();
  uses[1].release();
  expect(sockets[0].destroyed).toBe(false);
  uses[2].release();
  await closed;
});
