/**
 * Guards against callers that take the descriptors which control connections, backend
 * servers and disks need, and against a limit that turns away those who wait for an answer.
 */
import {spawn} from 'node:child_process';
import * as http from 'node:http';
import * as path from 'node:path';
import {afterEach, expect, test} from 'vitest';
import {EventRing} from '../../src/common/event_ring';
import {computeConnectionLimit} from '../../src/transport/compute_connection_limit';
import {findDescriptorLimit} from '../../src/transport/find_descriptor_limit';
import {HttpListener} from '../../src/transport/http_listener';
import {RawCaller} from '../support/raw_caller';
import {waitUntil} from '../support/wait_until';

const CLOSERS: Array<() => unknown> = [];
const LIMIT = 4;
/** More than the buffers of the kernel hold. */
const BODY_BYTES = 64 * 1024 * 1024;
const SLOW_BYTES = 8 * 1024 * 1024;
const REQUEST = 'GET /x HTTP/1.1\r\nhost: h\r\n\r\n';
const PART_OF_BODY =
  'POST /x HTTP/1.1\r\nhost: h\r\ncontent-length: 9\r\n\r\npart';

afterEach(async () => {
  for (const close of CLOSERS.splice(0).reverse()) {
    await close();
  }
});

/** Listens, and answers each request when the test says so. */
async function start() {
  const open: http.ServerResponse[] = [];
  const {port, events} = await listen((message, response) => {
    message.on('error', () => undefined).resume();
    open.push(response);
  });
  const connect = async (bytes = '') => {
    const caller = await RawCaller.create(port);
    CLOSERS.push(() => caller.close());
    caller.send(bytes);
    // One that is turned away may close before it is seen as accepted.
    await new Promise(resolve => setTimeout(resolve, 30));
    return caller;
  };
  return {open, connect, events};
}

async function listen(
  onRequest: Parameters<typeof HttpListener.create>[0]['onRequest'],
) {
  const events = EventRing.create();
  const listener = await HttpListener.create({
    host: '127.0.0.1',
    port: 0,
    maxConnections: LIMIT,
    log: {events, id: 'p'},
    onRequest,
  });
  CLOSERS.push(() => listener.close());
  return {port: listener.port, events};
}

test('a gateway of 4,100 descriptors holds 3,500 callers and keeps the others for itself', () => {
  expect(computeConnectionLimit(4_100)).toBe(3_500);
  expect(computeConnectionLimit(1_024)).toBe(512);
  expect(computeConnectionLimit(Infinity)).toBe(10_000);
  expect(findDescriptorLimit()).toBeGreaterThan(0);
  expect(computeConnectionLimit()).toBe(
    computeConnectionLimit(findDescriptorLimit()),
  );
});

test('the connection that is idle for the longest time is closed for a new one', async () => {
  const {open, connect} = await start();
  const answering = await connect(REQUEST);
  const unfinished = await connect('GET /x HT');
  const idle = [await connect(), await connect()];
  const added = [await connect(REQUEST)];
  await waitUntil('a close', () => idle[0].end === 'in order');
  expect(idle[1].end).toBe('open');
  added.push(await connect(REQUEST));
  await waitUntil('a close', () => idle[1].end === 'in order');
  await waitUntil('requests', () => open.length === 3);
  open.forEach(response => response.end('ok'));
  await waitUntil('answers', () =>
    [answering, ...added].every(({statuses}) => statuses.length === 1),
  );
  expect(unfinished.end).toBe('open');
});

test('a connection that has rested since its last request is closed after one that has rested longer', async () => {
  const {open, connect} = await start();
  const callers: RawCaller[] = [];
  for (let count = 0; count < LIMIT; count += 1) {
    callers.push(await connect());
  }
  callers[0].send(REQUEST);
  await waitUntil('a request', () => open.length === 1);
  open[0].end('ok');
  await waitUntil('an answer', () => callers[0].statuses.length === 1);
  await connect();
  await waitUntil('a close', () => callers[1].end === 'in order');
  expect(callers.map(({end}) => end)).toEqual([
    'open',
    'in order',
    'open',
    'open',
  ]);
});

test('without an idle one, the oldest unfinished request is closed, never one that is being answered', async () => {
  const {open, connect, events} = await start();
  const answering = await connect(REQUEST);
  const unfinished = [
    await connect(PART_OF_BODY),
    await connect('GET /x HT'),
    await connect(PART_OF_BODY),
  ];
  for (const [at, caller] of unfinished.entries()) {
    await connect(REQUEST);
    await waitUntil('a close', () => caller.end !== 'open');
    const others = unfinished.slice(at + 1);
    expect(others.every(({end}) => end === 'open')).toBe(true);
  }
  const turnedAway = await connect(REQUEST);
  await waitUntil('a close', () => turnedAway.end !== 'open');
  open.forEach(response => response.destroyed || response.end('ok'));
  await waitUntil('an answer', () => answering.statuses.length === 1);
  expect(turnedAway.statuses).toEqual([]);
  expect(events.listSince(0)).toMatchObject([
    {
      type: 'connection-ended',
      reason:
        'there are too many connections: the oldest that was unfinished was closed',
      details: {connections: LIMIT, idle: 0, unfinished: 3, answering: 1},
    },
    {
      type: 'connection-ended',
      reason: 'all connections are being answered: the new one was closed',
      details: {connections: LIMIT, idle: 0, unfinished: 0, answering: LIMIT},
    },
  ]);
});

const DESCRIPTORS = 64;

test('a process without a free descriptor goes on and answers once there are some', async () => {
  const root = path.resolve(__dirname, '../..');
  const guard = path.join(root, 'build/test/support/exit_with_parent.js');
  const file = path.join(root, 'build/test/support/small_listener.js');
  const child = spawn('/bin/sh', [
    '-c',
    `ulimit -n ${DESCRIPTORS}; exec "$@"`,
    'sh',
    process.execPath,
    '-r',
    guard,
    file,
  ]);
  CLOSERS.push(() => child.kill('SIGKILL'));
  let text = '';
  child.stdout.on('data', bytes => (text += String(bytes)));
  await waitUntil('a port', () => text.includes('\n'));
  const port = Number(text);
  const crowd = await Promise.all(
    Array.from({length: 4 * DESCRIPTORS}, () =>
      RawCaller.create(port).catch(() => undefined),
    ),
  );
  crowd.forEach(caller => caller?.send('GET /x HT'));
  await new Promise(resolve => setTimeout(resolve, 1_000));
  expect(child.exitCode).toBe(null);
  crowd.forEach(caller => caller?.close());
  await waitUntil('an answer', async () => {
    const caller = await RawCaller.create(port);
    caller.send(REQUEST);
    await new Promise(resolve => setTimeout(resolve, 200));
    caller.close();
    return caller.statuses.length === 1;
  });
});

// Connections whose responses nobody read took all places for good.
test('a caller that does not read its response loses its connection to a new one', async () => {
  const {port} = await listen((_message, response) =>
    response.end(Buffer.alloc(BODY_BYTES)),
  );
  const readNothing = async () => {
    const caller = await RawCaller.create(port);
    CLOSERS.push(() => caller.close());
    caller.socket.pause();
    caller.send(REQUEST);
    return caller;
  };
  await Promise.all([1, 2, 3, 4].map(readNothing));
  await waitUntil('an answer', async () => {
    const caller = await RawCaller.create(port).catch(() => undefined);
    CLOSERS.push(() => caller?.close());
    caller?.send(REQUEST);
    await new Promise(resolve => setTimeout(resolve, 100));
    return caller?.statuses.includes(200) ?? false;
  });
});

test('a caller that reads slowly keeps its connection', async () => {
  const {port} = await listen((_message, response) =>
    response.end(Buffer.alloc(SLOW_BYTES)),
  );
  const slow = await Promise.all(
    [1, 2, 3, 4].map(() => RawCaller.create(port)),
  );
  CLOSERS.push(...slow.map(each => () => each.close()));
  slow.forEach(each => {
    each.send(REQUEST);
    each.socket.on('data', () => {
      each.socket.pause();
      setTimeout(() => each.socket.resume(), 20);
    });
  });
  const newcomers = setInterval(
    // One that is turned away may be reset before it is connected.
    () =>
      void RawCaller.create(port).then(
        each => each.close(),
        () => undefined,
      ),
    50,
  );
  CLOSERS.push(() => clearInterval(newcomers));
  await waitUntil('whole responses', () =>
    slow.every(({received}) => received.length > SLOW_BYTES),
  );
});
