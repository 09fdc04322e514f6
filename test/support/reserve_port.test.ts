// Guards against two tests that get the same free port: the fleet of the slower one failed to start.
import {afterEach, expect, test, vi} from 'vitest';
import {reservePort} from './reserve_port';

afterEach(() => vi.restoreAllMocks());

test('a port that nobody listens on yet is given to one test only', async () => {
  vi.spyOn(Math, 'random')
    .mockReturnValueOnce(0.123)
    .mockReturnValueOnce(0.123);
  const first = await reservePort();
  const second = await reservePort();

  expect(second).not.toBe(first);
});
