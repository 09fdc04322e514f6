/** Requests whose body is still arriving while the entry shuts down. */
import * as net from 'node:net';
import {afterEach, beforeEach, expect, test} from 'vitest';
import {Bundle} from '../../src/protocol/bundle';
import {computeDigest} from '../../src/protocol/compute_digest';
import {TestFleet} from '../support/test_fleet';

const KEY = 'key-of-hotel';
const BUNDLE = Bundle.parse({
  operator: 'test',
  version: 1,
  models: [{name: 'assistant', replicas: 1, hostsPerReplica: 1}],
  workspaces: [
    {name: 'hotel', keyHashes: [computeDigest(KEY)], maxInFlight: 8},
  ],
});
/** Longer than the entry gives callers to notice the stop, shorter than the whole stop. */
const LATE_MS = 3_200;

let fleet: TestFleet;

beforeEach(async () => {
  fleet = await TestFleet.create({
    entries: 1,
    entryArgs: ['--stop-within-ms', '6000'],
    hosts: [{hostId: 'h1', domain: 'd1', kind: 'model', name: 'assistant'}],
  });
  await fleet.rollOut(BUNDLE);
  await fleet.waitForServing(1);
  await fleet.waitForReady();
});
afterEach(() => fleet?.close());

/** Starts a request and sends only the first bytes of its body. */
function startRequest(tokens: number) {
  const body = JSON.stringify({
    model: 'assistant',
    stream: true,
    max_tokens: tokens,
  });
  const socket = net.connect(
    Number(fleet.findEntry('entry-1').ready['port']),
    '127.0.0.1',
  );
  const received = {text: ''};
  socket.on('data', chunk => (received.text += String(chunk)));
  socket.on('error', () => undefined);
  socket.write(
    `POST /v1/chat/completions HTTP/1.1\r\nhost: h\r\nauthorization: Bearer ${KEY}\r\ncontent-type: application/json\r\ncontent-length: ${body.length}\r\n\r\n${body.slice(0, 10)}`,
  );
  return {received, socket, finish: () => socket.write(body.slice(10))};
}

const wait = (ms: number) => new Promise(resolve => setTimeout(resolve, ms));

test('refuses a request whose body is complete too late, while another request is still running', async () => {
  const running = startRequest(100_000);
  running.finish();
  const late = startRequest(10);
  await wait(500);
  const stopped = fleet.findEntry('entry-1').stop();
  await wait(LATE_MS);
  late.finish();

  expect(await stopped).toBe(0);
  expect(late.received.text).toMatch(/^HTTP\/1.1 503 /);
  expect(late.received.text).toContain('whinreel-outcome: not-run');
  expect(late.received.text.toLowerCase()).toContain('connection: close');
  expect(fleet.findEngine('h1').totalRuns).toBe(1);
  running.socket.destroy();
});

test('answers not-run to a request whose body is complete too late, while no other request is in flight', async () => {
  const late = startRequest(10);
  await wait(500);
  const stopped = fleet.findEntry('entry-1').stop();
  await wait(LATE_MS);
  late.finish();

  expect(await stopped).toBe(0);
  expect(late.received.text).toMatch(/^HTTP\/1.1 503 /);
  expect(late.received.text).toContain('whinreel-outcome: not-run');
  expect(fleet.findEngine('h1').totalRuns).toBe(0);
});
