/** Guards against a response on whose head, end or body the HTTP client and its bytes do not agree. */
import * as net from 'node:net';
import {once} from 'node:events';
import {afterEach, describe, expect, test} from 'vitest';
import {ResponseCheck} from '../../src/transport/response_check';

const closers: Array<() => unknown> = [];

afterEach(() => {
  closers.splice(0).forEach(close => close());
});

/** Lets a check read these bytes on a connection. */
async function startCheck(text: string, ends = false): Promise<ResponseCheck> {
  const server = net.createServer(socket => {
    socket.write(text);
    if (ends) {
      socket.end();
    }
    closers.push(() => socket.destroy());
  });
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  const {port} = server.address() as net.AddressInfo;
  const socket = net.connect(port, '127.0.0.1');
  closers.push(
    () => server.close(),
    () => socket.destroy(),
  );
  const check = ResponseCheck.create(socket);
  check.begin('GET');
  socket.resume();
  await once(socket, ends ? 'end' : 'data');
  return check;
}

const HEAD = 'HTTP/1.1 200 OK\r\n';
const LENGTH = 'content-length: 4\r\n';

describe('a response check', () => {
  test('finds no fault where the client reports what was received', async () => {
    const check = await startCheck(`${HEAD}${LENGTH}\r\nbody`);
    expect(check.findHeadFault(200)).toBeUndefined();
    expect(check.recordBody(4)).toBeUndefined();
    expect(check.findFault()).toBeUndefined();
  });

  test('finds another status than the one received', async () => {
    const check = await startCheck(`${HEAD}${LENGTH}\r\nbody`);
    expect(check.findHeadFault(201)).toBe('its head is not the one received');
  });

  test('finds a head that is reported before its end', async () => {
    const check = await startCheck(`${HEAD}${LENGTH}`);
    expect(check.findHeadFault(200)).toBe('its head is not the one received');
  });

  test.each([3, 5])(
    'finds a body of %d bytes that is not the one received',
    async bytes => {
      const check = await startCheck(`${HEAD}${LENGTH}\r\nbody`);
      check.recordBody(bytes);
      expect(check.findFault()).toBe('its body is not the one received');
    },
  );

  test.each([
    ['within the head', `${HEAD}${LENGTH}`],
    ['within the body', `${HEAD}${LENGTH}\r\nbod`],
    [
      'before the last chunk',
      `${HEAD}transfer-encoding: chunked\r\n\r\n3\r\nbod\r\n`,
    ],
  ])('finds an end %s', async (_where, text) => {
    const check = await startCheck(text, true);
    check.recordBody(3);
    expect(check.findFault()).toBe('it is not complete');
  });

  test('finds that the connection which ends the response has not ended', async () => {
    const check = await startCheck(`${HEAD}\r\nbody`);
    check.recordBody(4);
    expect(check.findFault()).toBe('the server has not ended the connection');
  });

  test('finds no fault where the connection which ends the response has ended', async () => {
    const check = await startCheck(`${HEAD}\r\nbody`, true);
    check.recordBody(4);
    expect(check.findFault()).toBeUndefined();
  });
});
