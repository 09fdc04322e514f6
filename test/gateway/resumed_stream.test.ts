// Guards against a resumed stream that does not go on after its last event.
import {describe, expect, test} from 'vitest';
import {EventOrder} from '../../src/gateway/responses/event_order';
import {
  STREAM_HEAD,
  encodeChunk,
  encodeEvents,
  sendStream,
  startFixture,
} from '../support/backend_scripts';
import {FakeBackend} from '../support/fake_backend';

type Handler = Parameters<typeof FakeBackend.create>[0];

const RESUMABLE = {kind: 'stream', isResumable: true} as const;

/** Sends an event stream with this status line, whose chunks are these texts. */
function sendChunks(statusLine: string, ...texts: string[]): Handler {
  return ({socket}) => {
    const head = STREAM_HEAD.replace('HTTP/1.1 200 OK', statusLine);
    socket.write(head.replaceAll('\n', '\r\n'));
    socket.write(texts.map(encodeChunk).join('') + '0\r\n\r\n');
  };
}

function readEventIds(body: string): number[] {
  return [...body.matchAll(/^id: (\d+)/gm)].map(([, id]) => Number(id));
}

// The gateway names the last event in its request, and does not check that the server goes on after it.
test.each([
  ['repeats', [1, 2, 3, 4]],
  ['skips', [7, 8]],
])('a resumed stream that %s events is not whole', async (_name, ids) => {
  const {fixture} = await startFixture(
    [sendStream('a', [1, 2, 3], 'reset'), sendStream('b', ids, 'whole')],
    RESUMABLE,
  );
  const {body, isWhole} = await fixture.send();
  const received = readEventIds(body);
  const isOrdered = received.every((id, at) => id === at + 1);
  expect({isOrdered, isFalselyWhole: isWhole && !isOrdered}).toEqual({
    isOrdered: true,
    isFalselyWhole: false,
  });
});

// A head was checked only for being an event stream.
test('an error response does not continue a stream that began with 200', async () => {
  const {fixture} = await startFixture(
    [
      sendStream('a', [1, 2, 3], 'reset'),
      sendChunks('HTTP/1.1 500 Error', 'event: error\ndata: failed\n\n'),
    ],
    RESUMABLE,
  );
  const {body, isWhole} = await fixture.send();
  expect({body, isWhole}).toEqual({
    body: encodeEvents(1, 2, 3),
    isWhole: false,
  });
});

// The HTTP client rejects the header before it connects, which counted as an unreachable server.
test('an event id that is no header value does not make other servers count as unreachable', async () => {
  const {fixture, backends} = await startFixture(
    [
      ({socket}) => {
        socket.write(STREAM_HEAD.replaceAll('\n', '\r\n'));
        socket.write(encodeChunk('id: 3\u0001\ndata: t\n\n'));
        setTimeout(() => socket.resetAndDestroy(), 10);
      },
      sendStream('b', [1], 'whole'),
    ],
    RESUMABLE,
  );
  await fixture.send();
  const {incarnation} = fixture.targets[1][1];
  fixture.balancer.setTargets(new Map([fixture.targets[1]]));
  expect(
    fixture.balancer.choose({
      pool: 'p',
      model: undefined,
      mayQueue: true,
      excludesLimited: false,
      excluded: new Set(),
    })?.incarnation,
  ).toBe(incarnation);
  expect(backends[1].requests.length).toBeLessThanOrEqual(1);
});

test.each([
  ['numbers that rise by other steps', ['3', '6', '9'], '10', true],
  ['numbers that have risen by one', ['3', '4', '5'], '7', false],
  ['a number that comes again', ['3', '6'], '6', false],
  ['ids that are no numbers', ['a', 'b'], 'a', true],
  ['an id of other bytes', ['\u00c3\u00a9'], '\u00c3\u00a8', true],
  ['an id that no header can carry', ['a'], 'b\u0001', false],
  ['an id with blanks within', ['a b'], 'a  \tc', true],
])(
  'after %s, a resumed stream may go on as stated',
  (_name, ids, id, isNext) => {
    const order = EventOrder.create(undefined);
    expect(ids.map(each => order.accept(each))).toEqual(ids.map(() => true));
    order.resume();
    expect(order.accept(id)).toBe(isNext);
  },
);

// The new run was asked for all events again, or for those after an earlier one.
describe('a stream whose last event has no id', () => {
  const event = (at: number) => `data: t${at}\n\n`;
  const sendAll = sendChunks(
    'HTTP/1.1 200 OK',
    [1, 2, 3, 4].map(event).join(''),
  );

  function sendAndReset(text: string): Handler {
    return ({socket}) => {
      socket.write(STREAM_HEAD.replaceAll('\n', '\r\n') + encodeChunk(text));
      setTimeout(() => socket.resetAndDestroy(), 10);
    };
  }

  test.each([
    ['none of its events has', event(1) + event(2)],
    ['the events before it have', `${encodeEvents(1, 2)}${event(3)}`],
  ])('is cut and not joined with another run: %s', async (_which, text) => {
    const {fixture, backends} = await startFixture(
      [sendAndReset(text), sendAll],
      RESUMABLE,
    );
    expect(await fixture.send()).toMatchObject({body: text, isWhole: false});
    expect(backends[1].requests).toHaveLength(0);
  });

  test('is resumed all the same when that event has no data', async () => {
    const text = `${encodeEvents(1, 2)}: comment\n\n`;
    const {fixture} = await startFixture(
      [sendAndReset(text), sendStream('b', [3], 'whole')],
      RESUMABLE,
    );
    const body = text + encodeEvents(3);
    expect(await fixture.send()).toMatchObject({body, isWhole: true});
  });

  // The event stream format lets the last id of an event count.
  test('goes on after the last id of an event that has two', async () => {
    const {fixture, backends} = await startFixture(
      [
        sendAndReset('id: 1\nid: 2\ndata: t2\n\n'),
        sendStream('b', [3], 'whole'),
      ],
      RESUMABLE,
    );
    expect((await fixture.send()).isWhole).toBe(true);
    expect(backends[1].requests[0].headers.get('last-event-id')).toBe('2');
  });

  // Surplus empty lines are no event, and the position before them stays known.
  test.each(['\n', '\n\n', '\n\n\n', '\n: comment\n\n', '\nretry: 3\n\n'])(
    'goes on after the last id when %j follows it',
    async surplus => {
      const text = `${encodeEvents(1, 2)}${surplus}`;
      const {fixture} = await startFixture(
        [sendAndReset(text), sendStream('b', [3], 'whole')],
        RESUMABLE,
      );
      const {body, isWhole} = await fixture.send();
      expect({ids: readEventIds(body), isWhole}).toEqual({
        ids: [1, 2, 3],
        isWhole: true,
      });
    },
  );

  test('does not go on after an event without an id that an empty line precedes', async () => {
    const text = `${encodeEvents(1)}\ndata: 2\n\n`;
    const {fixture} = await startFixture(
      [sendAndReset(text), sendStream('b', [2, 3], 'whole')],
      RESUMABLE,
    );
    const received = await fixture.send().catch(() => undefined);
    expect(received?.isWhole ?? false).toBe(false);
  });

  test('is repeated when no event was passed on', async () => {
    const {fixture} = await startFixture(
      [sendAndReset('data: t'), sendAll],
      RESUMABLE,
    );
    const body = [1, 2, 3, 4].map(event).join('');
    expect(await fixture.send()).toMatchObject({body, isWhole: true});
  });

  test('is resumed after a later event with an id', async () => {
    const text = event(1) + encodeEvents(2);
    const {fixture} = await startFixture(
      [sendAndReset(text), sendStream('b', [3], 'whole')],
      RESUMABLE,
    );
    const body = text + encodeEvents(3);
    expect(await fixture.send()).toMatchObject({body, isWhole: true});
  });
});

// Only whole numbers were compared.
test.each([
  ['5', '-3'],
  ['1.5', '1.2'],
  ['-1', '-2'],
  ['2', '1.5'],
])('an event %s that is followed by %s is not passed on', (first, second) => {
  const order = EventOrder.create(undefined);
  expect(order.accept(first)).toBe(true);
  expect(order.accept(second)).toBe(false);
});

// Such a stream was read to its end and answered by 502, on every attempt.
describe.each(['\r\n', '\r'])('a stream whose lines end in %j', lineEnd => {
  const encode = (text: string) => text.replaceAll('\n', lineEnd);
  const start = STREAM_HEAD.replaceAll('\n', '\r\n');

  test('is whole, and unchanged', async () => {
    const text = encode(encodeEvents(1, 2, 3));
    const {fixture, backends} = await startFixture(
      [sendChunks('HTTP/1.1 200 OK', text)],
      RESUMABLE,
    );
    expect(await fixture.send()).toMatchObject({
      status: 200,
      body: text,
      isWhole: true,
    });
    expect(backends[0].requests).toHaveLength(1);
  });

  test('is resumed after its last event, and not behind one with data and no id', async () => {
    const begun = encode(encodeEvents(1, 2));
    const broken = (text: string): Handler => {
      return ({socket}) => {
        socket.write(start + encodeChunk(text));
        setTimeout(() => socket.resetAndDestroy(), 10);
      };
    };
    const rest = sendChunks('HTTP/1.1 200 OK', encode(encodeEvents(3)));
    const resumed = await startFixture([broken(begun), rest], RESUMABLE);
    expect(await resumed.fixture.send()).toMatchObject({
      body: begun + encode(encodeEvents(3)),
      isWhole: true,
    });
    const unnumbered = begun + encode(': c\ndata: x\n\n');
    const cut = await startFixture([broken(unnumbered), rest], RESUMABLE);
    expect(await cut.fixture.send()).toMatchObject({
      body: unnumbered,
      isWhole: false,
    });
    expect(cut.backends[1].requests).toHaveLength(0);
  });
});

describe('the last event of a stream', () => {
  test('is named in the request of the next run with all of its id', async () => {
    const {fixture, backends} = await startFixture(
      [
        ({socket}) => {
          socket.write(STREAM_HEAD.replaceAll('\n', '\r\n'));
          socket.write(encodeChunk('id: 1\nid: a b: c\ndata: t\n\n'));
          setTimeout(() => socket.resetAndDestroy(), 10);
        },
        sendChunks('HTTP/1.1 200 OK', 'id: d\ndata: t\n\n'),
      ],
      RESUMABLE,
    );
    expect(await fixture.send()).toMatchObject({isWhole: true});
    const [{headers}] = backends[1].requests;
    expect([...headers.values()]).toContain('a b: c');
  });

  // A header loses the blanks around its value, so the next run would be asked for another event.
  test.each(['', ' ', ' 3', '3 ', '\t3'])(
    'cannot be named when its id is %j, until a later one has an id',
    id => {
      const order = EventOrder.create(undefined);
      expect(order.accept('2')).toBe(true);
      expect(order.accept(id)).toBe(true);
      expect(order.canResume).toBe(false);
      expect(order.accept('4')).toBe(true);
      expect([order.canResume, order.last]).toEqual([true, '4']);
    },
  );
});
