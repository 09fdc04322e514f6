/**
 * Guards against memory that is kept for a body whose receipt failed: what arrives after
 * the answer was taken from the budget again, and nothing gave it back.
 */
import * as http from 'node:http';
import * as net from 'node:net';
import {afterEach, expect, test} from 'vitest';
import {BodyBudget} from '../../src/transport/body_budget';
import {readHttpBody} from '../../src/transport/read_http_body';
import {waitUntil} from '../support/wait_until';

const PIECE = Buffer.alloc(40_000, 1);
const SETTLE_MS = 200;
const closers: Array<() => unknown> = [];

afterEach(async () => {
  for (const close of closers.splice(0).reverse()) {
    await close();
  }
});

test('a body whose receipt failed keeps no memory', async () => {
  const budget = BodyBudget.create(1024 * 1024);
  let calls = 0;
  const failing = Object.assign(Object.create(budget) as BodyBudget, {
    createShare: (holder: Parameters<BodyBudget['createShare']>[0]) => {
      const share = budget.createShare(holder);
      return {
        ...share,
        reserve: (bytes: number) => {
          calls += 1;
          if (calls === 1) {
            throw new TypeError('injected at reserve');
          }
          return share.reserve(bytes);
        },
      };
    },
  });
  const server = http.createServer((request, response) => {
    readHttpBody(request, response, {
      maxBytes: 10 * PIECE.length,
      budget: failing,
    }).catch((error: Error) => {
      response.writeHead(503, {'content-length': '0', reason: error.name});
      response.end();
    });
  });
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  closers.push(() => server.close());
  const {port} = server.address() as net.AddressInfo;
  const caller = net.connect(port, '127.0.0.1');
  closers.push(() => caller.destroy());
  let received = '';
  caller.on('data', bytes => (received += bytes.toString()));
  caller.write(
    `POST / HTTP/1.1\r\nhost: h\r\ncontent-length: ${3 * PIECE.length}\r\n\r\n`,
  );
  caller.write(PIECE);
  await waitUntil('the answer', () => received.includes('503'));
  expect(received).toContain('reason: Fault');

  await new Promise(resolve => setTimeout(resolve, SETTLE_MS));
  caller.write(PIECE);
  caller.write(PIECE);
  await new Promise(resolve => setTimeout(resolve, SETTLE_MS));
  caller.destroy();
  await new Promise(resolve => setTimeout(resolve, SETTLE_MS));

  expect(budget.usedBytes).toBe(0);
});
