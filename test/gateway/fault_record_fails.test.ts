/**
 * Guards against an error on one request's way that ends the process after all, since
 * the event that reports it cannot be recorded: whoever observes events (the log, the
 * metrics) throws into the one who records.
 */
import {afterEach, beforeEach, expect, test} from 'vitest';
import {sendOk, startFixture} from '../support/backend_scripts';

const uncaught: Error[] = [];
const record = (error: Error) => uncaught.push(error);

beforeEach(() => {
  uncaught.length = 0;
  process.on('uncaughtException', record);
  process.on('unhandledRejection', record);
});
afterEach(() => {
  process.removeListener('uncaughtException', record);
  process.removeListener('unhandledRejection', record);
});

test('a request fault that cannot be recorded ends nothing else', async () => {
  const {fixture} = await startFixture([sendOk('whole')]);
  const observed = fixture.events.stream.observe(({type}) => {
    if (type === 'request-fault') {
      throw new TypeError('the observer fails');
    }
  });
  observed.catch(() => undefined);
  fixture.wrap = dependency =>
    'createHeaders' in dependency
      ? {...dependency, createHeaders: () => ['workspace', 'a\nb']}
      : dependency;
  const {status} = await fixture.send();

  expect(status).toBe(503);
  expect(uncaught).toEqual([]);
});
