/** An entry that stops, and requests whose body is still coming. */
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
/** Longer than callers take to notice, shorter than the stop. */
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

/** A request of which the first bytes of the body are sent. */
function begin(tokens: number) {
  const body = JSON.stringify({
    model: 'assistant',
    stream: true,
    max_tokens: tokens,
  });
  const socket = net.connect(
    Number(fleet.findEntry('entry-1').ready['port']),
    '127.0.0.1',
  );
  const seen = {text: ''};
  socket.on('data', chunk => (seen.text += String(chunk)));
  socket.on('error', () => undefined);
  socket.write(
    `POST /v1/chat/completions HTTP/1.1\r\nhost: h\r\nauthorization: Bearer ${KEY}\r\ncontent-type: application/json\r\ncontent-length: ${body.length}\r\n\r\n${body.slice(0, 10)}`,
  );
  return {seen, socket, finish: () => socket.write(body.slice(10))};
}

const wait = (ms: number) => new Promise(resolve => setTimeout(resolve, ms));

test('a request whose body is whole long after callers have noticed is not taken, whatever else is under way', async () => {
  const holder = begin(100_000);
  holder.finish();
  const late = begin(10);
  await wait(500);
  const stopped = fleet.findEntry('entry-1').stop();
  await wait(LATE_MS);
  late.finish();

  expect(await stopped).toBe(0);
  expect(late.seen.text).toMatch(/^HTTP\/1.1 503 /);
  expect(late.seen.text).toContain('whinreel-outcome: not-run');
  expect(late.seen.text.toLowerCase()).toContain('connection: close');
  expect(fleet.findEngine('h1').totalRuns).toBe(1);
  holder.socket.destroy();
});

test('a request whose body is still coming when nothing else is under way is told that it has not run', async () => {
  const late = begin(10);
  await wait(500);
  const stopped = fleet.findEntry('entry-1').stop();
  await wait(LATE_MS);
  late.finish();

  expect(await stopped).toBe(0);
  expect(late.seen.text).toMatch(/^HTTP\/1.1 503 /);
  expect(late.seen.text).toContain('whinreel-outcome: not-run');
  expect(fleet.findEngine('h1').totalRuns).toBe(0);
});
