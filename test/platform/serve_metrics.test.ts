/** Guards against a process that ends, or does not start, because its metrics cannot be served. */
import * as http from 'node:http';
import * as net from 'node:net';
import {afterEach, expect, test} from 'vitest';
import {EventRing} from '../../src/common/event_ring';
import {PlatformSettings} from '../../platform/platform_settings';
import {serveMetrics} from '../../platform/serve_metrics';
import {reservePort} from '../support/reserve_port';

const VARIABLE = 'WHINREEL_METRICS_PORT';
const HOST = '127.0.0.1';
const SETTINGS = PlatformSettings.parse({
  node_name: 'n',
  ip: HOST,
  internal_ports: [7_340, 7_355],
});

afterEach(() => {
  delete process.env[VARIABLE];
});

async function serve(
  port: string,
  settings = SETTINGS,
): Promise<ReadonlyArray<{type: string; reason: string}>> {
  process.env[VARIABLE] = port;
  const events = EventRing.create();
  await serveMetrics('whinreel-entry', settings, events);
  return events.listSince(0);
}

test.each(['http', '-1', '65536', '1e3', '8080 ', '0x50', '9'.repeat(300)])(
  'the metrics port %j is recorded as wrong',
  async port => {
    const [event, ...others] = await serve(port);

    expect(others).toEqual([]);
    expect(event).toMatchObject({type: 'metrics-unavailable', id: 'n'});
    expect(event.reason).toContain(`${VARIABLE} is "${port.slice(0, 100)}`);
    expect(event.reason.length).toBeLessThan(250);
  },
);

test('a metrics port that another process has is recorded', async () => {
  const other = net.createServer();
  await new Promise<void>(resolve => other.listen(0, HOST, resolve));
  const {port} = other.address() as net.AddressInfo;
  const [event] = await serve(String(port));
  other.close();

  expect(event.type).toBe('metrics-unavailable');
  expect(event.reason).toContain(`cannot listen on ${HOST}:${port}`);
});

test.each(['', '0'])('with the metrics port %j none are served', async port => {
  expect(await serve(port)).toEqual([]);
});

test('the metrics of a process without an address of its own are served beside its callers', async () => {
  const port = await reservePort();
  const listen = {front: `${HOST}:80`};
  expect(
    await serve(String(port), {...SETTINGS, ip: undefined, listen}),
  ).toEqual([]);

  const status = await new Promise(resolve =>
    http.get({host: HOST, port, agent: false}, response => {
      response.resume();
      resolve(response.statusCode);
    }),
  );
  expect(status).toBe(200);
});
