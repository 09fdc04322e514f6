/**
 * Guards against a reset that is taken for the end of a response without a length.
 * Its part reached the caller as a complete answer when the reset arrived together
 * with it, or while the request was still being written.
 */
import {describe, expect, test} from 'vitest';
import {FakeBackend} from '../support/fake_backend';
import {startFixture} from '../support/backend_scripts';

type Handler = Parameters<typeof FakeBackend.create>[0];

const ROUNDS = 20;
const KIB = 1024;
const MIB = 1024 * KIB;
const MARKS = 'request-id: q\r\nseal: s\r\n';
const HEAD = `HTTP/1.1 200 OK\r\n${MARKS}\r\n`;
const EARLY = {answersEarly: true};
const ROUTE = {kind: 'unsafe', maxAttempts: 1} as const;

/** Writes the text and then resets the connection, or closes it with the rest of the request unread. */
function writeAndBreak(
  text: string,
  how: 'reset' | 'close',
  delayMs: number,
): Handler {
  return ({socket}) => {
    const end = () =>
      how === 'reset' ? socket.resetAndDestroy() : socket.destroy();
    socket.write(text);
    if (delayMs === 0) {
      end();
    } else {
      setTimeout(end, delayMs);
    }
  };
}

/** Counts the responses that reach the caller, by what they are. */
async function countResults(handler: Handler, bodyBytes: number) {
  const {fixture} = await startFixture([handler], ROUTE, {}, EARLY);
  const body = 'x'.repeat(bodyBytes);
  const counts: Record<string, number> = {};
  for (let round = 0; round < ROUNDS; round += 1) {
    const {status, isWhole} = await fixture.send({}, body);
    const result = `${status} ${isWhole ? 'whole' : 'cut off'}`;
    counts[result] = (counts[result] ?? 0) + 1;
  }
  return counts;
}

const SIZES = [0, 64 * KIB, 256 * KIB, MIB, 8 * MIB];

describe('a part of a response that is reset', () => {
  test.each(SIZES.flatMap(size => [0, 1, 5].map(ms => [size, ms] as const)))(
    'is no answer during an upload of %d bytes, after %d ms',
    async (size, delayMs) => {
      const handler = writeAndBreak(`${HEAD}part`, 'reset', delayMs);
      expect(await countResults(handler, size)).toEqual({
        '502 whole': ROUNDS,
      });
    },
  );

  test.each([
    ['HTTP/1.0', `HTTP/1.0 200 OK\r\n${MARKS}\r\n`],
    ['201', `HTTP/1.1 201 Created\r\n${MARKS}\r\n`],
    [
      'connection: close',
      `HTTP/1.1 200 OK\r\n${MARKS}connection: close\r\n\r\n`,
    ],
  ])('is no answer with %s', async (_name, head) => {
    const handler = writeAndBreak(`${head}part`, 'reset', 0);
    expect(await countResults(handler, MIB)).toEqual({'502 whole': ROUNDS});
  });
});

// A server that closes without having read the request is not known to have meant the end.
test.each([64 * KIB, 8 * MIB])(
  'a response whose connection closes with an upload of %d bytes unread is no answer',
  async size => {
    const handler = writeAndBreak(`${HEAD}part`, 'close', 0);
    expect(await countResults(handler, size)).toEqual({'502 whole': ROUNDS});
  },
);

test.each(SIZES)(
  'a response that ends with its connection after an upload of %d bytes was read is whole',
  async size => {
    const {fixture} = await startFixture(
      [({socket}) => socket.end(`${HEAD}body`)],
      ROUTE,
    );
    for (let round = 0; round < 3; round += 1) {
      const received = await fixture.send({}, 'x'.repeat(size));
      expect(received).toMatchObject({status: 200, body: 'body'});
    }
  },
);

test('a response with a length that arrives whole during the upload is the answer', async () => {
  const head = `HTTP/1.1 200 OK\r\n${MARKS}content-length: 4\r\n\r\n`;
  const {fixture} = await startFixture(
    [({socket}) => socket.write(`${head}body`)],
    ROUTE,
    {},
    EARLY,
  );
  const received = await fixture.send({}, 'x'.repeat(8 * MIB));
  expect(received).toMatchObject({status: 200, body: 'body', isWhole: true});
});
