import * as net from 'node:net';
import {afterEach, expect, test} from 'vitest';
import {sendOk} from '../support/backend_scripts';
import {GatewayFleet} from '../support/gateway_fleet';

const fleets: GatewayFleet[] = [];

afterEach(async () => {
  await Promise.all(fleets.splice(0).map(fleet => fleet.close()));
});

/** Sends bytes to a port and reads until the connection ends. */
function sendRaw(port: number, bytes: string): Promise<string> {
  return new Promise((resolve, reject) => {
    const socket = net.connect(port, '127.0.0.1', () => socket.write(bytes));
    let text = '';
    socket.on('data', chunk => (text += String(chunk)));
    socket.on('error', reject);
    socket.on('close', () => resolve(text));
  });
}

// The HTTP client rejected such a request, and its backend server counted as unreachable for all callers.
test('a request with two host headers is refused without its backend server', async () => {
  let reached = 0;
  const fleet = await GatewayFleet.create({
    gateways: 1,
    stopWithinMs: 8_000,
    route: {},
    handle: arrived => {
      reached += 1;
      sendOk('ok')(arrived);
    },
  });
  fleets.push(fleet);

  const refused = await sendRaw(
    fleet.ports[0],
    'GET /x HTTP/1.1\r\nhost: h\r\nhost: other\r\nrequest-id: two\r\nconnection: close\r\n\r\n',
  );
  expect(refused).toMatch(/^HTTP\/1.1 400 /);
  expect(refused).toContain('there is more than one host header');
  expect(reached).toBe(0);
  expect(await fleet.call(0, 'q')).toMatchObject({status: 200, body: 'ok'});
});
