import {afterEach, expect, test} from 'vitest';
import {RunningAttempt} from '../../src/host/running_attempt';
import {RequestMessage} from '../../src/protocol/request_message';
import {BackendHttpClient} from '../../src/transport/backend_http_client';
import {FakeBackend} from '../support/fake_backend';
import {waitUntil} from '../support/wait_until';

const MEBIBYTE = 1024 * 1024;
const EVENTS =
  'HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\nconnection: close\r\n\r\n';
const closers: Array<() => unknown> = [];

afterEach(async () => {
  for (const close of closers.splice(0).reverse()) {
    await close();
  }
});

/** Runs one attempt against a backend server; returns what it sent to the entry. */
async function run(
  handle: Parameters<typeof FakeBackend.create>[0],
  {
    credit = 64 * MEBIBYTE,
    headers = {},
  }: {credit?: number; headers?: Record<string, string>} = {},
) {
  const backend = await FakeBackend.create(handle);
  const client = BackendHttpClient.create();
  closers.push(
    () => backend.close(),
    () => client.close(),
  );
  const sent: RequestMessage[] = [];
  const attempt = RunningAttempt.create({
    dispatch: {
      type: 'dispatch',
      stream: 1,
      attemptId: 'r.1',
      groupId: 'g',
      epoch: 1,
      incarnation: 'i',
      startBy: 0,
      credit,
      method: 'POST',
      path: '/',
      headers,
      body: Buffer.from('body'),
      isRepeatable: true,
      priority: 5,
    },
    backend: client,
    backendUrl: `http://${backend.address}`,
    epoch: 1,
    send: message => sent.push(message),
    findStopReason: () => undefined,
  });
  const listData = () =>
    sent.flatMap(message =>
      message.type === 'data' ? [Buffer.from(message.bytes).toString()] : [],
    );
  return {backend, attempt, sent, listData};
}

// Frames were cut at 64 KiB, so a break between two of them left half an event at the caller.
test('events are never cut between frames', async () => {
  const events = [10, 100_000, 10, 700_000, 10].map(
    size => `data: ${'x'.repeat(size)}\n\n`,
  );
  const end = 'data: [DONE]\n\n';
  const {attempt, listData} = await run(({socket}) =>
    socket.end(`${EVENTS}${events.join('')}${end}`),
  );
  const {outcome} = await attempt.ended;

  expect(outcome).toBe('answered');
  expect(listData().join('') === `${events.join('')}${end}`).toBe(true);
  expect(listData().filter(text => !text.endsWith('\n\n'))).toEqual([]);
});

test('an event without an end fails the attempt and closes its connection', async () => {
  const {backend, attempt, listData} = await run(({socket}) => {
    socket.write(EVENTS);
    socket.write(`data: a\n\ndata: ${'x'.repeat(2 * MEBIBYTE)}`);
  });

  expect(await attempt.ended).toEqual({
    outcome: 'failed',
    reason: 'the backend server sent an event without an end',
  });
  expect(listData()).toEqual(['data: a\n\n']);
  await waitUntil('the end', () => backend.openConnectionCount === 0);
});

test('a status line without an end leaves the outcome unknown', async () => {
  const {attempt, sent} = await run(({socket}) => {
    socket.write(`HTTP/1.1 200 ${'x'.repeat(MEBIBYTE)}`);
  });

  expect((await attempt.ended).outcome).toBe('unknown');
  expect(sent.map(({type}) => type)).toEqual(['end']);
});

// An attempt that must run at most once goes on without its entry, and read such a response for ever.
test('a response without an end is not read for ever once its entry went away', async () => {
  const {backend, attempt} = await run(
    ({socket}) => {
      const piece = Buffer.alloc(64 * 1024);
      const write = () => {
        while (!socket.destroyed && socket.write(piece)) {
          // Goes on until the socket asks to wait.
        }
      };
      socket.on('drain', () => setImmediate(write));
      socket.write('HTTP/1.1 200 OK\r\n\r\n');
      write();
    },
    {credit: 1},
  );
  attempt.finishDetached();

  expect(await attempt.ended).toEqual({
    outcome: 'failed',
    reason: 'the response is too long to be read without its entry',
  });
  await waitUntil('the end', () => backend.openConnectionCount === 0);
});

// Behind other events it would become part of the name of a field, whose event the caller then loses.
test.each([
  [{}, '\ufeff'],
  [{'whinreel-resume-after': '1'}, ''],
])(
  'a byte order mark is passed on only at the start of what the caller receives: %j',
  async (headers, mark) => {
    const events = 'data: a\r\n\r\ndata: [DONE]\r\n\r\n';
    const {attempt, listData} = await run(
      ({socket}) => socket.end(`${EVENTS}\ufeff${events}`),
      {headers},
    );
    expect(await attempt.ended).toMatchObject({outcome: 'answered'});
    expect(listData().join('')).toBe(mark + events);
  },
);
