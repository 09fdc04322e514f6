import {afterEach, expect, test} from 'vitest';
import {HttpOrigins} from '../../src/transport/http_origins';
import {BackendStandIn} from '../support/backend_stand_in';
import {waitUntil} from '../support/wait_until';

const closers: Array<() => unknown> = [];

afterEach(async () => {
  for (const close of closers.splice(0).reverse()) {
    await close();
  }
});

test('kept connections that are let go take no further call, and finish the ones they have', async () => {
  const held: Array<() => void> = [];
  const backend = await BackendStandIn.create(({socket}) =>
    held.push(() =>
      socket.write('HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\na'),
    ),
  );
  const origins = HttpOrigins.create();
  closers.push(
    () => backend.close(),
    () => origins.close(),
  );
  const call = () =>
    new Promise<void>((resolve, reject) =>
      origins.call(
        {
          address: backend.address,
          method: 'GET',
          path: '/',
          headers: [],
          body: null,
          maxConnections: 1,
        },
        {
          onSent: () => undefined,
          onHead: () => undefined,
          onData: () => undefined,
          onEnd: resolve,
          onError: reject,
        },
      ),
    );
  const first = call();
  await waitUntil('the first', () => held.length === 1);
  origins.renew(backend.address);
  // One connection at most, so only a new set of them can carry this.
  const second = call();
  await waitUntil('the second', () => held.length === 2);
  expect(backend.openConnections).toBe(2);
  held.forEach(answer => answer());
  await Promise.all([first, second]);
  await waitUntil('the first closed', () => backend.openConnections === 1);
});
