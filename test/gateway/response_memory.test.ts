// Guards against gateways that run out of memory under many long responses, and against proper ones that end for them.
import {once} from 'node:events';
import {IncomingMessage} from 'node:http';
import {expect, test} from 'vitest';
import {computeResponseMemoryBytes} from '../../src/gateway/responses/compute_response_memory_bytes';
import {ResponseMemory} from '../../src/gateway/responses/response_memory';
import {startFixture, writeRaw} from '../support/backend_scripts';
import {EndlessResponse} from '../support/endless_response';
import {FakeBackend} from '../support/fake_backend';
import {waitUntil} from '../support/wait_until';

type Handler = Parameters<typeof FakeBackend.create>[0];

const MIB = 1024 * 1024;

/** Creates shares that note their eviction. */
function createShares(memory: ResponseMemory, names: string[]) {
  const evicted: string[] = [];
  const busy = new Set(names);
  const shares = names.map(name =>
    memory.createShare({
      canEvict: () => busy.has(name),
      onEvicted: () => evicted.push(name),
    }),
  );
  return {shares, evicted, busy};
}

test('the share that holds the most gives way to another', async () => {
  const memory = ResponseMemory.create(100);
  const {shares, evicted} = createShares(memory, ['a', 'b', 'c']);
  const [a, b, c] = shares;
  expect([a.reserve(30), b.reserve(50), c.reserve(10)]).not.toContain(false);
  expect(c.reserve(20)).toBe(true);
  expect(memory.usedBytes).toBe(60);
  // Ends no attempt within the callback of another one's response.
  expect(evicted).toEqual([]);
  await Promise.resolve();
  expect(evicted).toEqual(['b']);
  b.release();
  expect(memory.usedBytes).toBe(60);
});

test('the share that wants more is denied if it would hold the most', async () => {
  const memory = ResponseMemory.create(100);
  const {shares, evicted} = createShares(memory, ['a', 'b']);
  const [a, b] = shares;
  expect(a.reserve(40)).toBe(true);
  expect(b.reserve(50)).toBe(true);
  expect(b.reserve(20)).toBe(false);
  expect(memory.usedBytes).toBe(90);
  await Promise.resolve();
  expect(evicted).toEqual([]);
  b.release();
  expect(a.reserve(60)).toBe(true);
});

test('a complete response is not given up for another', () => {
  const memory = ResponseMemory.create(100);
  const {shares, busy} = createShares(memory, ['a', 'b']);
  const [a, b] = shares;
  expect(a.reserve(90)).toBe(true);
  busy.delete('a');
  expect(b.reserve(20)).toBe(false);
  expect(memory.usedBytes).toBe(90);
});

test('the limit is a part of the memory limit of the process, if it has one', () => {
  expect(computeResponseMemoryBytes(512 * MIB, 4_096 * MIB)).toBe(128 * MIB);
  // What Node reports without a limit.
  expect(computeResponseMemoryBytes(2 ** 64, 4_096 * MIB)).toBe(256 * MIB);
  expect(computeResponseMemoryBytes(0, 4_096 * MIB)).toBe(256 * MIB);
});

test('the response that was left unread for the longest gives way before an incomplete one', async () => {
  const memory = ResponseMemory.create(100);
  const evicted: string[] = [];
  const unread = new Set<string>();
  const [first, second] = ['first', 'second'].map(name =>
    memory.createShare({
      canEvict: () => false,
      isUnread: () => unread.has(name),
      onEvicted: () => evicted.push(name),
    }),
  );
  const {shares} = createShares(memory, ['incomplete', 'new']);
  const [incomplete, wanting] = shares;
  expect(first.reserve(20)).toBe(true);
  expect(second.reserve(20)).toBe(true);
  expect(incomplete.reserve(60)).toBe(true);
  // Its caller may still be reading it.
  expect(wanting.reserve(70)).toBe(false);
  unread.add('first').add('second');
  expect(wanting.reserve(10)).toBe(true);
  await Promise.resolve();
  expect(evicted).toEqual(['first']);
  expect(memory.usedBytes).toBe(90);
});

/** Answers with the id of the request and with a body of this length, of which a part may be held back. */
function sendBody(length: number, sentLength = length): Handler {
  return arrived => {
    const id = arrived.headers.get('request-id');
    writeRaw(
      `HTTP/1.1 200 OK\nrequest-id: ${id}\nseal: s\ncontent-length: ${length}\n\n`,
    )(arrived);
    arrived.socket.write(Buffer.alloc(sentLength, 'x'));
  };
}

test('the longest incomplete response ends when the memory is spent, and a proper one arrives', async () => {
  const {fixture, backends} = await startFixture(
    [
      arrived => {
        const isLong = arrived.headers.get('request-id') === 'long';
        const handle = isLong ? sendBody(4 * MIB, 3 * MIB) : sendBody(2 * MIB);
        handle(arrived);
      },
    ],
    {kind: 'unsafe'},
  );
  const memory = ResponseMemory.create(4 * MIB);
  fixture.responseMemory = memory;
  const long = fixture.send({'request-id': 'long'}, 'order');
  await waitUntil('the long one is held', () => memory.usedBytes >= 3 * MIB);
  const proper = await fixture.send({'request-id': 'proper'}, 'order');
  expect(proper).toMatchObject({status: 200, isWhole: true});
  expect(proper.body).toHaveLength(2 * MIB);
  expect((await long).status).toBe(502);
  const [first] = backends[0].requests;
  await waitUntil('the connection closes', () => first.socket.destroyed);
  const causes = fixture.events
    .listSince(0)
    .filter(({type}) => type === 'response-rejected')
    .map(({id, details}) => [id, details?.cause]);
  expect(causes).toEqual([['long', 'buffers-full']]);
  expect(memory.usedBytes).toBe(0);
});

test('responses without end stay within the memory together, and give all of it back', async () => {
  const endless = EndlessResponse.create({
    start: 'HTTP/1.1 200 OK\nrequest-id: REQUEST_ID\nseal: s\n\n',
    piece: 'x'.repeat(1_000),
  });
  const {fixture} = await startFixture(
    [
      arrived => {
        most = Math.max(most, memory.usedBytes);
        endless.handle(arrived);
        arrived.socket.on('drain', () => {
          most = Math.max(most, memory.usedBytes);
        });
      },
    ],
    {kind: 'unsafe'},
  );
  let most = 0;
  const memory = ResponseMemory.create(4 * MIB);
  fixture.responseMemory = memory;
  const received = await Promise.all(
    [1, 2, 3, 4, 5, 6].map(at =>
      fixture.send({'request-id': `q${at}`}, 'order'),
    ),
  );
  expect(received.map(({status}) => status)).toEqual(Array(6).fill(502));
  await waitUntil('the connections close', () => endless.isClosed);
  expect(most).toBeGreaterThan(0);
  expect(most).toBeLessThanOrEqual(4 * MIB);
  expect(memory.usedBytes).toBe(0);
});

test('a complete response counts until its caller has read it, and gives way if it does not', async () => {
  const {fixture} = await startFixture([sendBody(7 * MIB)], {kind: 'unsafe'});
  const memory = ResponseMemory.create(16 * MIB);
  fixture.responseMemory = memory;
  const unread = await Promise.all(
    ['a', 'b'].map(async id => {
      const request = fixture.startRequest({'request-id': id});
      const [response] = (await once(request, 'response')) as [IncomingMessage];
      return response.pause();
    }),
  );
  expect(memory.usedBytes).toBeGreaterThanOrEqual(14 * MIB);
  expect(memory.usedBytes).toBeLessThanOrEqual(16 * MIB);
  await new Promise(resolve => setTimeout(resolve, 1_100));

  const proper = await fixture.send({'request-id': 'proper'});

  expect(proper).toMatchObject({status: 200, isWhole: true});
  expect(proper.body).toHaveLength(7 * MIB);
  const ends = await Promise.allSettled(
    unread.map(response => response.toArray()),
  );
  // Room for the proper one takes one of the two.
  expect(ends.filter(({status}) => status === 'rejected')).toHaveLength(1);
  await waitUntil('nothing is held', () => memory.usedBytes === 0);
});
