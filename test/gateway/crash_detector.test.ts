import * as net from 'node:net';
import {afterEach, expect, test} from 'vitest';
import {EventRing} from '../../src/common/event_ring';
import {ServerAddress} from '../../src/common/server_address';
import {systemClock} from '../../src/common/system_clock';
import {CrashDetector} from '../../src/gateway/crashes/crash_detector';
import {FakeBackend} from '../support/fake_backend';

const backends: FakeBackend[] = [];

afterEach(() => backends.splice(0).forEach(backend => backend.close()));

async function start() {
  const backend = await FakeBackend.create(() => undefined);
  backends.push(backend);
  const events = EventRing.create();
  const detector = CrashDetector.create({clock: systemClock, events});
  const address = ServerAddress.parse(backend.address);
  const target = {incarnation: 'i0', address};
  return {backend, events, detector, target};
}

test('a backend server that refuses new connections after one broke has ended', async () => {
  const {backend, events, detector, target} = await start();
  backend.close();
  const states = await Promise.all([
    detector.detectState({target, name: 'a', hasResponseStarted: false}),
    detector.detectState({target, name: 'b', hasResponseStarted: true}),
  ]);

  expect(states).toEqual(['ended', 'ended']);
  expect(events.listSince(0)).toMatchObject([
    {
      type: 'backend-broke',
      id: 'i0',
      details: {begun: 1, notBegun: 1, requests: 'a'},
    },
  ]);
});

test('one that accepts a new connection is alive, whatever broke', async () => {
  const {detector, target} = await start();
  const state = await detector.detectState({
    target,
    name: 'a',
    hasResponseStarted: false,
  });
  expect(state).toBe('alive');
});

test('the state of one that does not answer is unknown', async () => {
  const {target} = await start();
  const detector = CrashDetector.create({
    clock: systemClock,
    events: EventRing.create(),
    probe: () => Promise.resolve('silent'),
  });
  const state = await detector.detectState({
    target,
    name: 'a',
    hasResponseStarted: false,
  });
  expect(state).toBe('unknown');
});

// A process that ends may close its port last, and its kernel accepts connections until it does.
test('a backend server whose port is the last that its process closes has ended', async () => {
  const backend = net.createServer(socket => {
    backend.close();
    socket.resetAndDestroy();
  });
  await new Promise<void>(resolve => backend.listen(0, '127.0.0.1', resolve));
  const {port} = backend.address() as net.AddressInfo;
  const address = ServerAddress.parse(`127.0.0.1:${port}`);
  const target = {incarnation: 'i0', address};
  const detector = CrashDetector.create({
    clock: systemClock,
    events: EventRing.create(),
  });
  const loss = {target, name: 'a', hasResponseStarted: false};
  expect(await detector.detectState(loss)).toBe('ended');
});
