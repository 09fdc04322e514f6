/** Guards against an incomplete response that a caller takes for a whole one. */
import * as http from 'node:http';
import {AddressInfo, connect} from 'node:net';
import {afterEach, expect, test} from 'vitest';
import {cancelResponse} from '../../src/transport/cancel_response';
import {ConnectionEnd} from '../../src/transport/connection_end';
import {waitUntil} from '../support/wait_until';

const closers: Array<() => unknown> = [];

afterEach(() => closers.splice(0).forEach(close => close()));

test.each([
  ['1.0', true],
  ['1.1', false],
])(
  'a response to a caller of HTTP/%s that is cancelled ends with a reset: %s',
  async (version, isReset) => {
    const server = http.createServer((_, response) => {
      response.write('part', () => cancelResponse(response));
    });
    await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
    const socket = connect((server.address() as AddressInfo).port, '127.0.0.1');
    closers.push(
      () => socket.destroy(),
      () => server.close(),
    );
    const end = ConnectionEnd.create(socket);
    let text = '';
    socket.on('data', bytes => (text += bytes.toString('latin1')));
    socket.on('error', () => undefined);
    socket.write(`GET / HTTP/${version}\r\nhost: h\r\n\r\n`);
    await waitUntil('the end', () => socket.destroyed);

    expect(text).not.toContain('0\r\n\r\n');
    expect(end.findFault() !== undefined).toBe(isReset);
  },
);
