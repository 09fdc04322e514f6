import {afterEach, expect, test} from 'vitest';
import {EventRing} from '../../src/common/event_ring';
import {systemClock} from '../../src/common/system_clock';
import {CrashDetector} from '../../src/gateway/crash_detector';
import {BackendStandIn} from '../support/backend_stand_in';

const backends: BackendStandIn[] = [];

afterEach(() => backends.splice(0).forEach(backend => backend.close()));

async function start() {
  const backend = await BackendStandIn.create(() => undefined);
  backends.push(backend);
  const events = EventRing.create();
  const witness = CrashDetector.create({clock: systemClock, events});
  const target = {incarnation: 'i0', address: backend.address};
  return {backend, events, witness, target};
}

test('a backend server that takes no connection after one broke has ended', async () => {
  const {backend, events, witness, target} = await start();
  backend.close();
  const fates = await Promise.all([
    witness.detectState({target, name: 'a', hasResponseStarted: false}),
    witness.detectState({target, name: 'b', hasResponseStarted: true}),
  ]);

  expect(fates).toEqual(['ended', 'ended']);
  expect(events.listSince(0)).toMatchObject([
    {
      type: 'backend-broke',
      id: 'i0',
      details: {begun: 1, notBegun: 1, requests: 'a'},
    },
  ]);
});

test('one that takes a new connection lives, whatever broke', async () => {
  const {witness, target} = await start();
  const fate = await witness.detectState({
    target,
    name: 'a',
    hasResponseStarted: false,
  });
  expect(fate).toBe('lives');
});

test('one that answers nothing may live', async () => {
  const {target} = await start();
  const witness = CrashDetector.create({
    clock: systemClock,
    events: EventRing.create(),
    probe: () => Promise.resolve('silent'),
  });
  const fate = await witness.detectState({
    target,
    name: 'a',
    hasResponseStarted: false,
  });
  expect(fate).toBe('unknown');
});
