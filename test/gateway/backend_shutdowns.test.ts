import {expect, test} from 'vitest';
import {EventRing} from '../../src/common/event_ring';
import {BackendShutdowns} from '../../src/gateway/backend_shutdowns';
import {waitUntil} from '../support/wait_until';

test('a backend server that leaves gets nothing while control is away, and control hears it afterwards', async () => {
  const told: string[][] = [];
  let isAway = true;
  const departures = BackendShutdowns.create({
    events: EventRing.create(),
    reportLeaving: incarnations => {
      told.push(incarnations);
      return isAway ? Promise.reject(new Error('away')) : Promise.resolve();
    },
  });
  departures.record('a');
  departures.record('a');
  expect(departures.has('a')).toBe(true);
  expect(departures.has('b')).toBe(false);
  await waitUntil('a second try', () => told.length > 1);
  isAway = false;
  const tries = told.length;
  await waitUntil('a last try', () => told.length > tries);

  departures.record('b');
  await waitUntil('the next one', () => told.at(-1)?.includes('b'));
  expect(told.at(-1)).toEqual(['b']);
});
