/**
 * Symptom: streams that stopping gateways had taken 6.1 and 6.6 s after their
 * signal to stop broke off in the middle 7.3 s after it.
 * Sequence: all gateways were told to stop within 2.5 s. Fewer than half of them
 * were ready then, so new connections went on coming to those that were
 * stopping, at a steady rate.
 * Cause: a stopping gateway took requests until its last instant. It ended early
 * only if a look every 50 ms met no open request, which a steady rate prevents;
 * else it closed every connection when its time was over.
 * What settled it: requests were answered that came 7.0 s after the signal;
 * processors were at 1 to 6%; the gateway closed all connections 7.32 s after its
 * signal, as its time of 8 s less a margin of 0.7 s says; only one of eleven left
 * within 3.3 s.
 */
import * as http from 'node:http';
import * as net from 'node:net';
import {afterEach, expect, test} from 'vitest';
import {GatewayServer} from '../../src/gateway/gateway_server';
import {events, streamSteadily} from '../support/backend_scripts';
import {GatewayFleet} from '../support/gateway_fleet';
import {waitUntil} from '../support/wait_until';

const STOP_WITHIN_MS = 8_000;
const BETWEEN_STOPS_MS = 300;
const EVENTS = 10;
const BETWEEN_EVENTS_MS = 100;
const BETWEEN_CALLS_MS = 40;
const KEPT_CONNECTIONS = 4;

type Fleet = GatewayFleet;
type View = Awaited<ReturnType<Fleet['call']>> & {id: string};

const fleets: Fleet[] = [];

afterEach(async () => {
  await Promise.all(fleets.splice(0).map(fleet => fleet.close()));
});

/** A stream of a second. */
const streamSlowly = streamSteadily(EVENTS, BETWEEN_EVENTS_MS);

/** Callers on new connections, at a steady rate, and on kept ones. */
class Callers {
  readonly views: View[] = [];
  private readonly pending = new Set<Promise<unknown>>();
  private readonly timer: NodeJS.Timeout;
  private readonly agents: http.Agent[] = [];
  private count = 0;
  private isOver = false;

  constructor(private readonly fleet: Fleet) {
    this.timer = setInterval(() => this.call(), BETWEEN_CALLS_MS);
    for (let at = 0; at < KEPT_CONNECTIONS; at += 1) {
      void this.callAgain(at);
    }
  }

  async finish(): Promise<void> {
    this.isOver = true;
    clearInterval(this.timer);
    await Promise.all(this.pending);
    this.agents.forEach(agent => agent.destroy());
  }

  private call(agent: http.Agent | false = false): Promise<void> {
    this.count += 1;
    const id = `q${this.count}`;
    const gateway = this.count % 2;
    const called = this.fleet
      .call(gateway, id, agent)
      .then(view => void this.views.push({...view, id}));
    this.pending.add(called);
    return called;
  }

  private async callAgain(at: number): Promise<void> {
    const agent = new http.Agent({keepAlive: true, maxSockets: 1});
    this.agents.push(agent);
    while (!this.isOver) {
      await this.call(agent);
      await new Promise(resolve => setTimeout(resolve, (at + 1) * 30));
    }
  }
}

function listStopReasons(gateway: GatewayServer): string[] {
  return gateway.events
    .listSince(0)
    .filter(({type}) => type === 'gateway-stopped')
    .map(({reason}) => reason);
}

test('gateways that stop together, while callers go on coming, finish what they took and refuse the rest', async () => {
  const fleet = await GatewayFleet.create({
    gateways: 2,
    stopWithinMs: STOP_WITHIN_MS,
    route: {},
    handle: streamSlowly,
  });
  fleets.push(fleet);
  const callers = new Callers(fleet);
  await waitUntil('answers', () => callers.views.length > 10);
  const [first, second] = fleet.gateways;
  const stopped = first.drain();
  await new Promise(resolve => setTimeout(resolve, BETWEEN_STOPS_MS));
  await Promise.all([stopped, second.drain()]);
  await callers.finish();

  const ran = new Set(
    fleet.backend.requests.map(({headers}) => headers.get('request-id') ?? ''),
  );
  const isRefused = ({status}: View) => status === 503;
  const givenUp = callers.views.filter(
    view => !view.isWhole && !(view.isUnread && !ran.has(view.id)),
  );
  const refused = callers.views.filter(isRefused);
  expect(givenUp).toEqual([]);
  expect(refused.filter(({id}) => ran.has(id))).toEqual([]);
  expect(refused.length).toBeGreaterThan(0);
  for (const {headers} of refused) {
    expect(Number(headers['retry-after'])).toBeGreaterThan(0);
    expect(headers.connection).toBe('close');
  }
  // What was begun before callers could notice is served like any other.
  const served = callers.views.filter(({status}) => status === 200);
  expect(served.length).toBe(ran.size);
  expect([first, second].map(listStopReasons)).toEqual([
    ['nothing is under way'],
    ['nothing is under way'],
  ]);
});

test('what is not finished when the time is over gets its final answer, which says whether it may have run', async () => {
  const fleet = await GatewayFleet.create({
    gateways: 1,
    stopWithinMs: 3_500,
    route: {kind: 'unsafe', timeoutMs: 60_000},
    // Never answered, and only one connection, so the second one waits.
    handle: () => undefined,
    maxConnections: 2,
  });
  fleets.push(fleet);
  const sent = fleet.call(0, 'sent');
  await waitUntil('the first', () => fleet.backend.requests.length === 1);
  const waiting = fleet.call(0, 'waiting');
  await fleet.gateways[0].drain();

  expect(await sent).toMatchObject({status: 502, isWhole: true});
  expect(await waiting).toMatchObject({status: 503, isWhole: true});
  expect(fleet.backend.requests).toHaveLength(1);
  expect(listStopReasons(fleet.gateways[0])).toEqual([
    'the time for the stop is over',
  ]);
});

/** Beyond what the system keeps for a socket, so that a part of it stays in the gateway. */
const LARGE_BYTES = 7 * 1024 * 1024;

/** A caller that reads nothing until it is told to, and how its connection ends. */
function openSlowly(port: number) {
  const socket = net.connect(port, '127.0.0.1');
  const seen = {bytes: 0, end: 'open'};
  socket.pause();
  socket.on('data', chunk => (seen.bytes += chunk.length));
  socket.on('end', () => (seen.end = 'in order'));
  socket.on('error', () => (seen.end = 'reset'));
  socket.write(
    'POST /x HTTP/1.1\r\nhost: h\r\nrequest-id: q\r\ncontent-length: 3\r\n\r\nask',
  );
  const closed = new Promise(resolve => socket.once('close', resolve));
  return {socket, seen, closed};
}

test('an answer that is written and has not left is not cut by the end of a stop', async () => {
  const fleet = await GatewayFleet.create({
    gateways: 1,
    stopWithinMs: STOP_WITHIN_MS,
    route: {kind: 'unsafe', timeoutMs: 20_000},
    handle: ({socket, headers}) => {
      const id = headers.get('request-id');
      socket.write(
        `HTTP/1.1 200 OK\r\nrequest-id: ${id}\r\nseal: s\r\ncontent-length: ${LARGE_BYTES}\r\n\r\n`,
      );
      socket.write(Buffer.alloc(LARGE_BYTES, 'x'));
    },
  });
  fleets.push(fleet);
  const [gateway] = fleet.gateways;
  const caller = openSlowly(gateway.port);
  await waitUntil('its answer', () =>
    gateway.events.listSince(0).some(({type}) => type === 'request-answered'),
  );
  const stopped = gateway.drain();
  // Later than callers have noticed, so nothing but this answer holds the stop.
  await new Promise(resolve => setTimeout(resolve, 3_000));
  caller.socket.resume();
  await Promise.all([stopped, caller.closed]);

  expect(caller.seen.bytes).toBeGreaterThan(LARGE_BYTES);
  expect(listStopReasons(gateway)).toEqual(['nothing is under way']);
});

test('a stream without a length that breaks off does not look whole', async () => {
  const fleet = await GatewayFleet.create({
    gateways: 1,
    stopWithinMs: STOP_WITHIN_MS,
    route: {},
    handle: ({socket, headers}) => {
      const id = headers.get('request-id');
      socket.write(
        `HTTP/1.1 200 OK\r\nrequest-id: ${id}\r\nseal: s\r\ncontent-type: text/event-stream\r\n\r\n${events(1)}`,
      );
      setTimeout(() => socket.resetAndDestroy(), 100);
    },
  });
  fleets.push(fleet);
  const caller = openSlowly(fleet.gateways[0].port);
  caller.socket.resume();
  await caller.closed;

  expect(caller.seen.bytes).toBeGreaterThan(0);
  expect(caller.seen.end).toBe('reset');
});

test('a request whose body comes after callers have noticed is refused, and the stop waits to say so', async () => {
  const fleet = await GatewayFleet.create({
    gateways: 1,
    stopWithinMs: STOP_WITHIN_MS,
    route: {},
    handle: streamSlowly,
  });
  fleets.push(fleet);
  const [gateway] = fleet.gateways;
  const socket = net.connect(gateway.port, '127.0.0.1');
  let text = '';
  socket.on('data', chunk => (text += String(chunk)));
  const closed = new Promise(resolve => socket.once('close', resolve));
  socket.write(
    'POST /x HTTP/1.1\r\nhost: h\r\nrequest-id: q\r\ncontent-length: 3\r\n\r\na',
  );
  // Its head must have come before the port is closed.
  await new Promise(resolve => setTimeout(resolve, 500));
  const stopped = gateway.drain();
  await new Promise(resolve => setTimeout(resolve, 3_000));
  socket.write('sk');
  await Promise.all([stopped, closed]);

  expect(text).toMatch(/^HTTP\/1.1 503 /);
  expect(text.toLowerCase()).toContain('connection: close');
  expect(fleet.backend.requests).toHaveLength(0);
});
