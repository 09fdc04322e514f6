/**
 * Guards against answers of engines that are not the answers to the call: late second
 * copies of earlier ones.
 */
import * as net from 'node:net';
import {afterEach, describe, expect, test} from 'vitest';
import {engineClient} from '../../platform/engine_client';

const INCARNATION = 'i-1@1000';
const closers: Array<() => unknown> = [];

afterEach(async () => {
  for (const close of closers.splice(0).reverse()) {
    await close();
  }
});

/** Starts a server that calls back with each request line and body, on a raw connection. */
async function listen(
  onConnection: (socket: net.Socket) => void,
): Promise<string> {
  const sockets = new Set<net.Socket>();
  const server = net.createServer(socket => {
    sockets.add(socket);
    socket.on('error', () => undefined);
    onConnection(socket);
  });
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  closers.push(() => {
    sockets.forEach(socket => socket.destroy());
    server.close();
  });
  return `127.0.0.1:${(server.address() as net.AddressInfo).port}`;
}

function createAnswer(status: number, body: object): string {
  const text = JSON.stringify(body);
  return `HTTP/1.1 ${status} Status\r\ncontent-length: ${text.length}\r\n\r\n${text}`;
}

const createCall = (address: string, ordersTaken = 0) => ({
  incarnation: INCARNATION,
  address,
  fence: 3,
  ordersTaken,
  order: {kind: 'stage' as const, model: 'm'},
});

/**
 * Starts an engine that sends a second copy of an answer in the place of the next one
 * on the same connection, and closes none. It accepts `limit` orders, each if its
 * expected number of earlier orders is right, and fences the others.
 */
async function startRepeatingEngine(limit = Infinity) {
  const engine = {sequence: 0, connections: 0};
  const answer = (request: string): string => {
    const {sequence} = engine;
    if (request.startsWith('GET')) {
      return createAnswer(200, {sequence, born: 1_000});
    }
    if (sequence >= limit) {
      return createAnswer(412, {});
    }
    if (!request.includes(`"expected_revision":${sequence},`)) {
      return createAnswer(409, {});
    }
    engine.sequence += 1;
    return createAnswer(202, {});
  };
  const address = await listen(socket => {
    engine.connections += 1;
    let request = '';
    let copy = '';
    socket.on('data', chunk => {
      request += String(chunk);
      const length = Number(/content-length: (\d+)/i.exec(request)?.[1] ?? 0);
      const [, body] = request.split('\r\n\r\n', 2);
      if (body === undefined || body.length < length) {
        return;
      }
      const next = answer(request);
      request = '';
      socket.write(copy + next);
      copy = next;
    });
  });
  return {engine, address};
}

describe('an engine that sends a second copy of an answer, late', () => {
  test('the answer to an order is not taken for the answer to the next order', async () => {
    const {address} = await startRepeatingEngine(1);
    const answers = [
      await engineClient.send(createCall(address)),
      await engineClient.send(createCall(address, 1)),
    ];
    expect(answers).toEqual([
      {outcome: 'begun', ordersTaken: 1},
      {outcome: 'fenced'},
    ]);
  });

  test('a report is not taken for the next report', async () => {
    const {address} = await startRepeatingEngine();
    const answers = [
      await engineClient.send(createCall(address)),
      await engineClient.send(createCall(address)),
    ];
    expect(answers).toEqual([
      {outcome: 'begun', ordersTaken: 1},
      {outcome: 'begun', ordersTaken: 2},
    ]);
  });

  test('every call has a connection of its own, one after the other and at once', async () => {
    const {address, engine} = await startRepeatingEngine();
    const probe = () => engineClient.probe(address, INCARNATION);
    expect([await probe(), await probe()]).toEqual([true, true]);
    expect(engine.connections).toBe(2);
    expect(await Promise.all([probe(), probe()])).toEqual([true, true]);
    expect(engine.connections).toBe(4);
    await engineClient.send(createCall(address));
    await engineClient.send(createCall(address));
    expect(engine.connections).toBe(8);
  });
});
