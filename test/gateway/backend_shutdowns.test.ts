import {expect, test} from 'vitest';
import {EventRing} from '../../src/common/event_ring';
import {BackendShutdowns} from '../../src/gateway/limits/backend_shutdowns';
import {waitUntil} from '../support/wait_until';

test('a backend server that shuts down gets no requests while the control plane is unreachable, which gets the report later', async () => {
  const reports: string[][] = [];
  let isUnreachable = true;
  const shutdowns = BackendShutdowns.create({
    events: EventRing.create(),
    reportLeaving: incarnations => {
      reports.push(incarnations);
      return isUnreachable
        ? Promise.reject(new Error('unreachable'))
        : Promise.resolve();
    },
  });
  shutdowns.record('a');
  shutdowns.record('a');
  expect(shutdowns.has('a')).toBe(true);
  expect(shutdowns.has('b')).toBe(false);
  await waitUntil('a second attempt', () => reports.length > 1);
  isUnreachable = false;
  const attempts = reports.length;
  await waitUntil('a last attempt', () => reports.length > attempts);

  shutdowns.record('b');
  await waitUntil('the next report', () => reports.at(-1)?.includes('b'));
  expect(reports.at(-1)).toEqual(['b']);
});
