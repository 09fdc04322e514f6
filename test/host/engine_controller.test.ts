/** Guards against a late second copy of an engine's answer that is taken for the answer to a later order. */
import * as net from 'node:net';
import {afterEach, expect, test} from 'vitest';
import {EngineController} from '../../src/host/engine_controller';
import {BackendHttpClient} from '../../src/transport/backend_http_client';

const closers: Array<() => unknown> = [];

afterEach(async () => {
  for (const close of closers.splice(0).reverse()) {
    await close();
  }
});

/** Starts an engine that accepts its first order only, and repeats each answer before the next one. */
async function startRepeatingEngine() {
  const orders: string[] = [];
  const server = net.createServer(socket => {
    let copy = '';
    socket.on('error', () => undefined);
    socket.on('data', chunk => {
      const group = /"group":"(\w+)"/.exec(String(chunk))?.[1];
      if (group === undefined) {
        return;
      }
      orders.push(group);
      const status = orders.length === 1 ? 200 : 409;
      const answer = `HTTP/1.1 ${status} Status\r\ncontent-length: 0\r\n\r\n`;
      socket.write(copy + answer);
      copy = answer;
    });
    closers.push(() => socket.destroy());
  });
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  closers.push(() => server.close());
  const {port} = server.address() as net.AddressInfo;
  return {orders, url: `http://127.0.0.1:${port}`};
}

test('an order that the engine refused does not count as accepted by a repeated answer', async () => {
  const {orders, url} = await startRepeatingEngine();
  const backend = BackendHttpClient.create();
  closers.push(() => backend.close());
  const controller = EngineController.create({
    hostId: 'h',
    backend,
    findUrl: () => url,
  });
  closers.push(() => controller.close());
  const createGroup = (id: string) => ({
    id,
    kind: 'model' as const,
    name: 'm',
    epoch: 1,
    fencing: 1,
    domain: 'd',
    zone: 'z',
    members: [],
    isDraining: false,
  });
  const groups = ['a', 'b'].map(createGroup);
  for (const group of groups) {
    const sent = orders.length;
    controller.setDesiredGroup(group);
    await expect.poll(() => orders.length).toBeGreaterThan(sent);
    // Answers on the loopback interface arrive within milliseconds.
    await new Promise(resolve => setTimeout(resolve, 100));
  }
  expect(orders.slice(0, 2)).toEqual(['a', 'b']);
  expect(groups.map(group => controller.hasAccepted(group))).toEqual([
    true,
    false,
  ]);
});
