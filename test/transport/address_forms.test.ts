/**
 * Guards against an address that one part of the product takes and another cannot
 * connect to: peers got IPv6 addresses with their brackets, and looked them up as names.
 */
import * as http from 'node:http';
import * as net from 'node:net';
import {afterEach, describe, expect, test} from 'vitest';
import {ServerAddress} from '../../src/common/server_address';
import {connectPeer} from '../../src/protocol/connect_peer';
import {Peer} from '../../src/protocol/peer';
import {BackendHttpClient} from '../../src/transport/backend_http_client';
import {callOnNewConnection} from '../../src/transport/call_on_new_connection';
import {FrameServer} from '../../src/transport/frame_server';
import {HttpClientPool} from '../../src/transport/http_client_pool';
import {probeListener} from '../../src/transport/probe_listener';
import {ServerWitness} from '../../src/transport/server_witness';

const closers: Array<() => unknown> = [];

afterEach(async () => {
  for (const close of closers.splice(0).reverse()) {
    await close();
  }
});

/** Answers with the host header that it got, and ends each response with its connection. */
async function startServer(listenHost: string, host: string) {
  const server = http.createServer(({headers}, response) => {
    response.shouldKeepAlive = false;
    response.removeHeader('transfer-encoding');
    response.useChunkedEncodingByDefault = false;
    response.writeHead(200, {'request-id': 'q'});
    response.end(headers.host);
  });
  await new Promise<void>(resolve => server.listen(0, listenHost, resolve));
  closers.push(() => server.close());
  const {port} = server.address() as net.AddressInfo;
  return {server, address: ServerAddress.parse(`${host}:${port}`)};
}

function callFromPool(address: ServerAddress): Promise<string> {
  const pool = HttpClientPool.create();
  closers.push(() => pool.close());
  return new Promise((resolve, reject) => {
    const chunks: Buffer[] = [];
    pool.call(
      {
        id: 'q',
        address,
        method: 'GET',
        path: '/',
        headers: [],
        body: null,
        maxConnections: 1,
      },
      {
        onSent: () => true,
        onHead: () => undefined,
        onData: chunk => chunks.push(Buffer.from(chunk)),
        onEnd: () => resolve(Buffer.concat(chunks).toString()),
        onError: reject,
      },
    );
  });
}

describe.each([
  ['127.0.0.1', '127.0.0.1'],
  ['::1', '[::1]'],
  ['::1', '[0:0:0:0:0:0:0:1]'],
  ['127.0.0.1', '[::ffff:127.0.0.1]'],
  ['127.0.0.1', 'localhost'],
  ['127.0.0.1', 'LocalHost'],
])('a server on %s at the host %s', (listenHost, host) => {
  test('is reached by requests, which name it', async () => {
    const {address} = await startServer(listenHost, host);

    expect(await callFromPool(address)).toBe(address.toString());
    const answer = await callOnNewConnection({
      address,
      method: 'GET',
      path: '/',
      timeoutMs: 5_000,
      maxAnswerBytes: 65_536,
    });
    expect(answer.body.toString()).toBe(address.toString());
    const response = await BackendHttpClient.create().call({
      url: `http://${address}`,
      method: 'GET',
      path: '/',
      headers: {},
      body: Buffer.alloc(0),
      signal: AbortSignal.timeout(5_000),
    });
    const chunks: Buffer[] = [];
    for await (const chunk of response.body) {
      chunks.push(chunk);
    }
    expect(Buffer.concat(chunks).toString()).toBe(address.toString());
  });

  test('is told from one that has ended', async () => {
    const {server, address} = await startServer(listenHost, host);
    const witness = ServerWitness.create(address);
    closers.push(() => witness.close());
    expect(await probeListener(address)).toBe('listens');
    expect(await witness.check()).toBe('listens');

    await new Promise(resolve => {
      server.close(resolve);
      server.closeAllConnections();
    });
    expect(await probeListener(address)).toBe('refuses');
    expect(await ServerWitness.create(address).check()).toBe('refuses');
  });

  test('is reached as a peer', async () => {
    const accepted: Array<Promise<Peer>> = [];
    const control = {program: 'control', id: 'c', incarnation: 'i'} as const;
    const server = await FrameServer.create({
      host: listenHost,
      port: 0,
      onConnection: connection =>
        accepted.push(Peer.create(connection, control)),
    });
    closers.push(() => server.close());
    const peer = await connectPeer(
      ServerAddress.parse(`${host}:${server.port}`),
      {program: 'gateway', id: 'g', incarnation: 'i'},
    );
    closers.push(() => peer.close());
    expect(peer.remote.id).toBe('c');
    expect((await accepted[0]).remote.id).toBe('g');
  });
});
