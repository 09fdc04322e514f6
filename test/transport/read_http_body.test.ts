// Guards against callers whose bodies use up the memory of a process, and against proper callers that are turned away for them.
import * as http from 'node:http';
import * as net from 'node:net';
import {AddressInfo} from 'node:net';
import {afterEach, expect, test} from 'vitest';
import {BodyBudget} from '../../src/transport/body_budget';
import {BODY_ERROR_STATUS} from '../../src/transport/body_error_status';
import {readHttpBody} from '../../src/transport/read_http_body';
import {waitUntil} from '../support/wait_until';

const KIB = 1024;
const MIB = 1024 * KIB;

interface ServerOptions {
  readonly maxBytes?: number;
  readonly budgetBytes?: number;
  readonly stallMs?: number;
  readonly discardMs?: number;
  /** Requests stay unanswered until `finish` is called. */
  readonly holds?: boolean;
}

const closers: Array<() => void> = [];

afterEach(() => closers.splice(0).forEach(close => close()));

/** A server that answers with the length of each body, or with why it did not read it. */
async function startServer(options: ServerOptions = {}) {
  const {maxBytes = MIB, budgetBytes = MIB, holds = false, ...times} = options;
  const budget = BodyBudget.create(budgetBytes);
  const held: Array<() => void> = [];
  const sockets: net.Socket[] = [];
  const server = http.createServer((request, response) => {
    readHttpBody(request, response, {maxBytes, budget, ...times}).then(
      body => {
        const finish = () => response.end(String(body.length));
        if (holds) {
          held.push(finish);
        } else {
          finish();
        }
      },
      (error: Error) => {
        response.writeHead(BODY_ERROR_STATUS[error.name] ?? 400);
        response.end(error.name);
      },
    );
  });
  server.on('connection', socket => sockets.push(socket));
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  closers.push(() => {
    server.closeAllConnections();
    server.close();
  });
  const {port} = server.address() as AddressInfo;
  return {port, budget, held, sockets};
}

/** A connection that notes what it receives. */
function connect(port: number) {
  const socket = net.connect(port, '127.0.0.1');
  closers.push(() => socket.destroy());
  const seen = {text: '', hasClosed: false};
  socket.on('data', data => (seen.text += String(data)));
  socket.on('error', () => undefined);
  socket.on('close', () => (seen.hasClosed = true));
  return {socket, seen};
}

function formatHead(framing: string): string {
  return `POST / HTTP/1.1\r\nhost: h\r\n${framing}\r\n\r\n`;
}

/** Sends the first bytes of a longer body. */
function sendPart(port: number, bytes: number) {
  const caller = connect(port);
  caller.socket.write(formatHead('transfer-encoding: chunked'));
  caller.socket.write(`${bytes.toString(16)}\r\n${'x'.repeat(bytes)}\r\n`);
  return caller;
}

function sendWhole(port: number, bytes: number) {
  const caller = connect(port);
  caller.socket.write(formatHead(`content-length: ${bytes}`));
  caller.socket.write('x'.repeat(bytes));
  return caller;
}

test('a body in chunks of one byte costs no more than twice its bytes', async () => {
  const {port, budget} = await startServer();
  const {socket, seen} = connect(port);
  socket.write(formatHead('transfer-encoding: chunked'));
  socket.write('1\r\nx\r\n'.repeat(100 * KIB - 1));

  await waitUntil('all is held', () => budget.usedBytes >= 100 * KIB);
  expect(budget.usedBytes).toBeLessThanOrEqual(200 * KIB);

  socket.write('1\r\nx\r\n0\r\n\r\n');
  await waitUntil('an answer', () => seen.text.endsWith('\r\n\r\n102400'));
  await waitUntil('nothing is held', () => budget.usedBytes === 0);
});

test('the unfinished body that has been arriving for the longest gives way to a new one', async () => {
  const {port, budget} = await startServer({
    budgetBytes: 256 * KIB,
    discardMs: 50,
  });
  const oldest = sendPart(port, 100 * KIB);
  await waitUntil('one is held', () => budget.usedBytes >= 100 * KIB);
  const newer = sendPart(port, 60 * KIB);
  await waitUntil('two are held', () => budget.usedBytes >= 160 * KIB);

  const whole = sendWhole(port, 120 * KIB);

  await waitUntil('an answer', () => whole.seen.text.endsWith('122880'));
  expect(oldest.seen.text).toMatch(/^HTTP\/1.1 503 [^]*NoRoom/);
  await waitUntil('it closes', () => oldest.seen.hasClosed);
  expect(newer.seen).toEqual({text: '', hasClosed: false});
});

test('a whole body never gives way, and a new one is refused at once', async () => {
  const {port, budget, held} = await startServer({
    budgetBytes: 256 * KIB,
    holds: true,
  });
  const first = sendWhole(port, 64 * KIB);
  await waitUntil('one is held', () => held.length === 1);
  const second = sendWhole(port, 64 * KIB);
  await waitUntil('two are held', () => held.length === 2);

  const third = sendWhole(port, 200 * KIB);

  await waitUntil('a refusal', () => third.seen.text.includes('NoRoom'));
  expect(third.seen.text).toMatch(/^HTTP\/1.1 503 /);
  expect(budget.usedBytes).toBeGreaterThanOrEqual(128 * KIB);
  held.forEach(finish => finish());
  for (const {seen} of [first, second]) {
    await waitUntil('an answer', () => seen.text.endsWith('65536'));
  }
  await waitUntil('nothing is held', () => budget.usedBytes === 0);
});

test('the bytes of all bodies together never exceed the budget', async () => {
  const {port, budget} = await startServer({
    budgetBytes: 512 * KIB,
    discardMs: 50,
  });
  let most = 0;
  const callers = Array.from({length: 20}, () => sendPart(port, 250 * KIB));
  await waitUntil('most are refused', () => {
    most = Math.max(most, budget.usedBytes);
    return callers.filter(({seen}) => seen.hasClosed).length >= 18;
  });
  expect(most).toBeLessThanOrEqual(512 * KIB);
  expect(most).toBeGreaterThan(0);
});

test('a whole body counts until its response is sent, also on a connection that closes before', async () => {
  const {port, budget, held} = await startServer({holds: true});
  const {socket} = sendWhole(port, 100 * KIB);
  await waitUntil('it is held', () => held.length === 1);
  expect(budget.usedBytes).toBeGreaterThanOrEqual(100 * KIB);
  socket.destroy();
  await waitUntil('nothing is held', () => budget.usedBytes === 0);
});

test('bodies that wait behind another on a connection that closes count no more', async () => {
  const {port, budget, held} = await startServer({holds: true});
  const {socket} = connect(port);
  const request = `${formatHead('content-length: 5000')}${'x'.repeat(5_000)}`;
  socket.write(request.repeat(20));
  await waitUntil('all are held', () => held.length === 20);
  expect(budget.usedBytes).toBeGreaterThanOrEqual(100_000);
  socket.destroy();
  await waitUntil('nothing is held', () => budget.usedBytes === 0);
});

test('an unfinished body counts no more once its connection has closed', async () => {
  const {port, budget} = await startServer();
  const {socket} = sendPart(port, 100 * KIB);
  await waitUntil('it is held', () => budget.usedBytes >= 100 * KIB);
  socket.destroy();
  await waitUntil('nothing is held', () => budget.usedBytes === 0);
});

test('a body that is announced too long is refused before it comes, and its connection closes', async () => {
  const {port, budget} = await startServer({discardMs: 50});
  const {socket, seen} = connect(port);
  socket.write(formatHead(`content-length: ${MIB + 1}`));

  await waitUntil('a refusal', () => seen.text.includes('TooLarge'));
  expect(seen.text).toMatch(/^HTTP\/1.1 413 /);
  expect(budget.usedBytes).toBe(0);
  await waitUntil('it closes', () => seen.hasClosed);
});

test('the connection is kept when a refused body ends soon', async () => {
  const {port} = await startServer({discardMs: 500});
  const {socket, seen} = connect(port);
  socket.write(formatHead(`content-length: ${MIB + 1}`));
  socket.write(Buffer.alloc(MIB + 1));
  await waitUntil('a refusal', () => seen.text.includes('TooLarge'));
  socket.write(formatHead('content-length: 5'));
  socket.write('hello');
  await waitUntil('an answer', () => seen.text.endsWith('\r\n\r\n5'));
  await new Promise(resolve => setTimeout(resolve, 600));
  expect(seen.hasClosed).toBe(false);
});

test('a caller that wants no other response reads the refusal of a body that is too long', async () => {
  const {port} = await startServer();
  for (let round = 0; round < 20; round += 1) {
    const {socket, seen} = connect(port);
    socket.write(formatHead(`connection: close\r\ncontent-length: ${5 * MIB}`));
    socket.write(Buffer.alloc(5 * MIB));
    await waitUntil('a refusal', () => seen.text.includes('TooLarge'));
    await waitUntil('it closes', () => seen.hasClosed);
    expect(seen.text).toMatch(/^HTTP\/1.1 413 /);
  }
});

test('an endless body is refused, is not read to its end, and the refusal is not lost', async () => {
  const {port, sockets} = await startServer({
    budgetBytes: 4 * MIB,
    discardMs: 300,
  });
  const {socket, seen} = connect(port);
  socket.write(formatHead('transfer-encoding: chunked'));
  const chunk = Buffer.from(`10000\r\n${'x'.repeat(0x10000)}\r\n`);
  const write = () => {
    while (!socket.destroyed && socket.write(chunk));
  };
  socket.on('drain', write);
  write();

  await waitUntil('it closes', () => seen.hasClosed);
  expect(seen.text).toMatch(/^HTTP\/1.1 413 [^]*TooLarge/);
  expect(sockets[0].bytesRead).toBeLessThan(24 * MIB);
});

test('a body of which no more comes is refused as too slow, one that goes on is not', async () => {
  const {port} = await startServer({stallMs: 200, discardMs: 50});
  const stalled = sendPart(port, KIB);
  const slow = sendPart(port, KIB);
  for (let part = 0; part < 5; part += 1) {
    await new Promise(resolve => setTimeout(resolve, 80));
    slow.socket.write('1\r\nx\r\n');
  }
  await waitUntil('a refusal', () => stalled.seen.text.includes('TooSlow'));
  expect(stalled.seen.text).toMatch(/^HTTP\/1.1 408 /);
  slow.socket.write('0\r\n\r\n');
  await waitUntil('an answer', () => slow.seen.text.endsWith('1029'));
  await waitUntil('it closes', () => stalled.seen.hasClosed);
});

test('the budget is a part of the memory of the process, and has room for one body of any program', () => {
  const bytes = BodyBudget.computeBytes;
  expect(bytes(96 * MIB)).toBe(32 * MIB);
  expect(bytes(9 * MIB)).toBe(24 * MIB);
  expect(bytes(undefined, 1_024 * MIB, 4_096 * MIB)).toBe(128 * MIB);
  expect(bytes(undefined, 64 * MIB, 4_096 * MIB)).toBe(24 * MIB);
  // Neither the process nor the machine has a limit that matters.
  expect(bytes(undefined, 2 ** 64, 4_096 * MIB)).toBe(256 * MIB);
  expect(bytes(undefined, 0, 1_024 * MIB)).toBe(128 * MIB);
});
