/**
 * Guards against limits of the configuration that are not in force. An idle connection was
 * closed after Node's default of 5 s, and a caller that took it up later, as it may, lost
 * a request; an unfinished head was ended up to 40 s after it began.
 */
import {afterEach, expect, test} from 'vitest';
import {HttpListener} from '../../src/transport/http_listener';
import {HttpLimits} from '../../src/transport/http_limits';
import {sendOk} from '../support/backend_scripts';
import {GatewayFleet} from '../support/gateway_fleet';
import {RawCaller} from '../support/raw_caller';
import {waitUntil} from '../support/wait_until';

const CLOSERS: Array<() => unknown> = [];
const REQUEST = 'GET /x HTTP/1.1\r\nhost: h\r\n\r\n';
const PART_OF_HEAD = 'GET /x HTTP/1.1\r\nhost: h\r\n';

afterEach(async () => {
  for (const close of CLOSERS.splice(0).reverse()) {
    await close();
  }
});

interface Options {
  readonly limits?: Partial<HttpLimits>;
  readonly maxHeldBytes?: number;
}

/** Listens with limits that can be changed, and answers each request at once. */
async function start({limits, maxHeldBytes}: Options) {
  const usual = {
    maxHeaderBytes: 16 * 1024,
    headerTimeoutMs: 3_000,
    idleTimeoutMs: 15_000,
  };
  const current = {limits: {...usual, ...limits}};
  const listener = await HttpListener.create({
    host: '127.0.0.1',
    port: 0,
    maxConnections: 1_000,
    maxHeldBytes,
    readLimits: () => current.limits,
    onRequest: (_message, response) => response.end('ok'),
  });
  CLOSERS.push(() => listener.close());
  return {
    port: listener.port,
    setLimits: (changed: Partial<HttpLimits>) =>
      (current.limits = {...current.limits, ...changed}),
  };
}

async function connect(port: number): Promise<RawCaller> {
  const caller = await RawCaller.create(port);
  CLOSERS.push(() => caller.close());
  return caller;
}

function wait(ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms));
}

async function call(caller: RawCaller): Promise<void> {
  const {length} = caller.statuses;
  caller.send(REQUEST);
  await waitUntil('an answer', () => caller.statuses.length > length);
}

/** Formats a request whose head has that many bytes. */
function formatHead(bytes: number): string {
  const empty = `${PART_OF_HEAD}filler: \r\n\r\n`;
  const filler = 'x'.repeat(bytes - empty.length);
  return `${PART_OF_HEAD}filler: ${filler}\r\n\r\n`;
}

test('a connection that rested for four fifths of the idle time serves the next request', async () => {
  const {port} = await start({limits: {idleTimeoutMs: 9_000}});
  const caller = await connect(port);
  await call(caller);
  expect(caller.received).toMatch(/keep-alive: timeout=9\r\n/i);
  await wait(7_200);
  await call(caller);
  expect(caller.statuses).toEqual([200, 200]);
});

test('an idle connection is closed after the idle time, and also one that never sent a byte', async () => {
  const {port} = await start({limits: {idleTimeoutMs: 1_000}});
  const silent = await connect(port);
  const used = await connect(port);
  await call(used);
  await wait(1_000);
  expect([silent.end, used.end]).toEqual(['open', 'open']);
  await Promise.all([silent.closed, used.closed]);
  expect([silent.end, used.end]).toEqual(['in order', 'in order']);
});

test('a shorter idle time closes no connection before the time that its last response stated', async () => {
  const {port, setLimits} = await start({limits: {idleTimeoutMs: 4_000}});
  const caller = await connect(port);
  await call(caller);
  setLimits({idleTimeoutMs: 500});
  await wait(3_200);
  await call(caller);
  expect(caller.received).toMatch(/keep-alive: timeout=0\r\n/i);
  await caller.closed;
  expect(caller.statuses).toEqual([200, 200]);
});

// A process that was suspended found the time over before it had read what had arrived meanwhile.
test('a request that arrived while the process was suspended beyond the idle time is answered', async () => {
  const {port} = await start({limits: {idleTimeoutMs: 300}});
  const caller = await connect(port);
  await call(caller);
  await wait(100);
  // From here on, the loop comes to its timers before its sockets.
  await new Promise(resolve => setImmediate(resolve));
  caller.send(REQUEST);
  const until = performance.now() + 2_000;
  while (performance.now() < until) {
    // Neither timers nor sockets are served.
  }
  await caller.closed;
  expect(caller.statuses).toEqual([200, 200]);
});

test('an unfinished head is answered with 408 after its time, on an open connection by the new time', async () => {
  const {port, setLimits} = await start({limits: {headerTimeoutMs: 60_000}});
  const caller = await connect(port);
  await call(caller);
  caller.send(PART_OF_HEAD);
  setLimits({headerTimeoutMs: 500});
  await wait(500);
  expect(caller.end).toBe('open');
  await caller.closed;
  expect(caller.statuses).toEqual([200, 408]);
  expect(caller.end).toBe('in order');
});

test('a head that goes on byte by byte is ended by the time of its first byte', async () => {
  const {port} = await start({limits: {headerTimeoutMs: 500}});
  const caller = await connect(port);
  caller.send('GET /');
  const timer = setInterval(() => caller.send('x'), 100);
  CLOSERS.push(() => clearInterval(timer));
  await waitUntil('an answer', () => caller.statuses.length > 0);
  expect(caller.statuses).toEqual([408]);
});

test('a head of the largest size is served and a larger one gets 431, on open connections by the new size', async () => {
  const {port, setLimits} = await start({});
  const open = await connect(port);
  open.send(formatHead(16 * 1024));
  await waitUntil('an answer', () => open.statuses.length === 1);
  setLimits({maxHeaderBytes: 2_000});
  open.send(formatHead(2_000));
  await waitUntil('an answer', () => open.statuses.length === 2);
  open.send(formatHead(16 * 1024));
  await open.closed;
  expect(open.statuses).toEqual([200, 200, 431]);

  const endless = await connect(port);
  endless.send('x'.repeat(1_000_000));
  await waitUntil('an answer', () => endless.statuses.length === 1);
  expect(endless.statuses).toEqual([431]);
});

test('unfinished heads of many connections are ended before they hold more than all may', async () => {
  const {port} = await start({maxHeldBytes: 100_000});
  const crowd: RawCaller[] = [];
  for (let count = 0; count < 30; count += 1) {
    const caller = await connect(port);
    caller.send(formatHead(10_000).slice(0, -1));
    crowd.push(caller);
    await wait(5);
  }
  await waitUntil('refusals', () => {
    const refused = crowd.filter(({statuses}) => statuses.length > 0);
    return refused.length >= 20;
  });
  // The oldest are ended, with a refusal that is true.
  expect(crowd[0].statuses).toEqual([503]);
  const last = crowd[crowd.length - 1];
  expect(last.end).toBe('open');
  last.send('\n');
  await waitUntil('an answer', () => last.statuses.length === 1);
  expect(last.statuses).toEqual([200]);
});

test('a gateway keeps the limits of its rules', async () => {
  const fleet = await GatewayFleet.create({
    gateways: 1,
    stopWithinMs: 8_000,
    route: {},
    handle: sendOk('ok'),
    limits: {headerTimeoutMs: 500, maxHeaderBytes: 2_000, idleTimeoutMs: 1_000},
  });
  CLOSERS.push(() => fleet.close());
  const [port] = fleet.ports;
  // The limits are read at intervals.
  await wait(1_000);
  const served = await connect(port);
  served.send('GET /x HTTP/1.1\r\nhost: h\r\nrequest-id: q\r\n\r\n');
  const slow = await connect(port);
  slow.send(PART_OF_HEAD);
  const large = await connect(port);
  large.send(formatHead(4_000));
  await Promise.all([served, slow, large].map(({closed}) => closed));
  expect(served.received).toMatch(/keep-alive: timeout=1\r\n/i);
  expect([served, slow, large].map(({statuses}) => statuses)).toEqual([
    [200],
    [408],
    [431],
  ]);
});
