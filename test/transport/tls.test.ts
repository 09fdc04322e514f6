import {readFileSync} from 'node:fs';
import * as path from 'node:path';
import {afterEach, beforeEach, expect, test} from 'vitest';
import {ServerAddress} from '../../src/common/server_address';
import {connectPeer} from '../../src/protocol/connect_peer';
import {Peer} from '../../src/protocol/peer';
import {FrameServer} from '../../src/transport/frame_server';
import {TlsCredentials} from '../../src/transport/tls_credentials';

const FIXTURES = path.resolve(__dirname, '../fixtures/tls');
const read = (name: string) => readFileSync(path.join(FIXTURES, name), 'utf8');
const authority = read('authority.pem');
const trusted: TlsCredentials = {
  authority,
  certificate: read('process.pem'),
  key: read('process.key'),
};
const stranger: TlsCredentials = {
  authority,
  certificate: read('stranger.pem'),
  key: read('stranger.key'),
};
const hello = {program: 'entry', id: 'e1', incarnation: 'i1'} as const;

let server: FrameServer;
const connectedIds: string[] = [];

beforeEach(async () => {
  connectedIds.length = 0;
  server = await FrameServer.create({
    host: '127.0.0.1',
    port: 0,
    security: trusted,
    onConnection: connection => {
      Peer.create(connection, {program: 'host', id: 'h1', incarnation: 'i2'})
        .then(peer => connectedIds.push(peer.remote.id))
        .catch(() => undefined);
    },
  });
});

afterEach(() => server.close());

test('a process with a certificate of the authority is accepted', async () => {
  const peer = await connectPeer(
    ServerAddress.parse(`127.0.0.1:${server.port}`),
    hello,
    trusted,
  );

  expect(peer.remote.id).toBe('h1');
  peer.close();
});

test('a process with a self-signed certificate is rejected', async () => {
  await expect(
    connectPeer(
      ServerAddress.parse(`127.0.0.1:${server.port}`),
      hello,
      stranger,
    ),
  ).rejects.toThrow();
  expect(connectedIds).toEqual([]);
});

test('a process without TLS is rejected', async () => {
  await expect(
    connectPeer(ServerAddress.parse(`127.0.0.1:${server.port}`), hello),
  ).rejects.toThrow();
  expect(connectedIds).toEqual([]);
});

test('a client rejects a server whose certificate another authority signed', async () => {
  const other = {...trusted, authority: stranger.certificate};

  await expect(
    connectPeer(ServerAddress.parse(`127.0.0.1:${server.port}`), hello, other),
  ).rejects.toThrow();
});
