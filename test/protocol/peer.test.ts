import * as net from 'node:net';
import {expect, test} from 'vitest';
import {ServerAddress} from '../../src/common/server_address';
import {Message} from '../../src/protocol/message';
import {messageCodec} from '../../src/protocol/message_codec';
import {Peer} from '../../src/protocol/peer';
import {FrameConnection} from '../../src/transport/frame_connection';
import {FrameServer} from '../../src/transport/frame_server';

const hello = {program: 'host', id: 'h1', incarnation: 'i1'} as const;

async function listen(onConnection: (connection: FrameConnection) => void) {
  return FrameServer.create({host: '127.0.0.1', port: 0, onConnection});
}

test('a message that arrives together with the hello is not lost', async () => {
  const received: Message[] = [];
  const server = await listen(connection => {
    void Peer.create(connection, hello).then(async peer => {
      await new Promise(resolve => setImmediate(resolve));
      await peer.messages.observe(message => received.push(message));
    });
  });
  const connection = await FrameConnection.connect({
    address: ServerAddress.create('127.0.0.1', server.port),
  });
  connection.send(messageCodec.encode({type: 'hello', protocol: 1, ...hello}));
  connection.send(messageCodec.encode({type: 'status-ask', call: 7}));
  connection.end();
  await connection.closed;

  expect(received).toEqual([{type: 'status-ask', call: 7}]);
  await server.close();
});

test('a peer that does not say hello first is disconnected', async () => {
  const errors: string[] = [];
  const server = await listen(connection => {
    Peer.create(connection, hello).catch((error: Error) =>
      errors.push(error.message),
    );
  });
  const connection = await FrameConnection.connect({
    address: ServerAddress.create('127.0.0.1', server.port),
  });
  connection.send(messageCodec.encode({type: 'status-ask', call: 7}));
  await connection.closed;

  expect(errors).toEqual(['the peer did not say hello first']);
  await server.close();
});

test('a length prefix over the limit closes the connection at once', async () => {
  const errors: string[] = [];
  const server = await listen(connection => {
    Peer.create(connection, hello).catch((error: Error) =>
      errors.push(error.message),
    );
  });
  const socket = net.connect(server.port, '127.0.0.1');
  socket.write(Buffer.from([0xff, 0xff, 0xff, 0xff]));
  await new Promise(resolve => socket.resume().on('close', resolve));

  expect(errors).toEqual([
    'the peer broke the framing: a frame of 4294967295 bytes is over the limit of 33554432 bytes',
  ]);
  await server.close();
});

test('messages that come together with a breach of the protocol, after it, are not taken', async () => {
  const received: Message[] = [];
  const errors: string[] = [];
  const frame = (payload: Uint8Array) => {
    const length = Buffer.alloc(4);
    length.writeUInt32BE(payload.length);
    return Buffer.concat([length, payload]);
  };
  const frames = [
    messageCodec.encode({type: 'hello', protocol: 1, ...hello}),
    messageCodec.encode({type: 'status-ask', call: 1}),
    messageCodec.encode({type: 'unknown'} as unknown as Message),
    messageCodec.encode({type: 'status-ask', call: 2}),
  ];
  const server = await listen(connection => {
    void Peer.create(connection, hello).then(peer => {
      void peer.messages.observe(message => received.push(message));
      void peer.closed.then(failure => errors.push(failure?.message ?? ''));
    });
  });
  const socket = net.connect(server.port, '127.0.0.1');
  socket.write(Buffer.concat(frames.map(frame)));
  await new Promise(resolve => socket.resume().on('close', resolve));

  await expect.poll(() => errors.length).toBe(1);
  expect(errors[0]).toContain('the peer broke the protocol');
  expect(received).toEqual([{type: 'status-ask', call: 1}]);
  await server.close();
});
