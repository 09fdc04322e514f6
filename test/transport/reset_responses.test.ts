/**
 * Guards against a reset that a client takes for the end of a response without a
 * length, when it arrives together with a part of the body or during the upload.
 */
import {afterEach, describe, expect, test} from 'vitest';
import {FakeBackend} from '../support/fake_backend';
import {httpClients} from '../support/http_clients';

type Handler = Parameters<typeof FakeBackend.create>[0];

const ROUNDS = 20;
const KIB = 1024;
const MIB = 1024 * KIB;
const SIZES = [0, 64 * KIB, 256 * KIB, MIB, 8 * MIB];
const HEAD = 'HTTP/1.1 200 OK\r\n\r\n';

const closers: Array<() => unknown> = [];

afterEach(() => {
  closers.splice(0).forEach(close => close());
});

describe.each(httpClients)('%s', (_name, send) => {
  /** Counts the results of some requests, by the body or `failed`. */
  async function countResults(
    handler: Handler,
    size: number,
    answersEarly: boolean,
  ) {
    const backend = await FakeBackend.create(handler, {answersEarly});
    closers.push(() => backend.close());
    const counts: Record<string, number> = {};
    for (let round = 0; round < ROUNDS; round += 1) {
      const sent = send(backend.address, Buffer.alloc(size, 'x'));
      const result = await sent.then(
        ({body}) => body,
        () => 'failed',
      );
      counts[result] = (counts[result] ?? 0) + 1;
    }
    return counts;
  }

  test.each(SIZES.flatMap(size => [0, 1, 5].map(ms => [size, ms] as const)))(
    'fails when a part is reset during an upload of %d bytes, after %d ms',
    async (size, delayMs) => {
      const handler: Handler = ({socket}) => {
        socket.write(`${HEAD}part`);
        if (delayMs === 0) {
          socket.resetAndDestroy();
        } else {
          setTimeout(() => socket.resetAndDestroy(), delayMs);
        }
      };
      expect(await countResults(handler, size, true)).toEqual({failed: ROUNDS});
    },
  );

  test.each([64 * KIB, 8 * MIB])(
    'fails when the connection closes with an upload of %d bytes unread',
    async size => {
      const handler: Handler = ({socket}) => {
        socket.write(`${HEAD}part`);
        socket.destroy();
      };
      expect(await countResults(handler, size, true)).toEqual({failed: ROUNDS});
    },
  );

  test.each([0, 64 * KIB, MIB])(
    'returns a response that ends with its connection after an upload of %d bytes was read',
    async size => {
      const handler: Handler = ({socket}) => socket.end(`${HEAD}body`);
      expect(await countResults(handler, size, false)).toEqual({body: ROUNDS});
    },
  );

  test('returns a response with a length that arrives whole during the upload', async () => {
    const text = 'HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nbody';
    const handler: Handler = ({socket}) => socket.write(text);
    expect(await countResults(handler, 8 * MIB, true)).toEqual({body: ROUNDS});
  });
});
