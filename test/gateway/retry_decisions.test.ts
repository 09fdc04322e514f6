import {expect, test} from 'vitest';
import {
  resetConnection,
  sendOk,
  startFixture,
} from '../support/backend_scripts';

test('a denied retry is logged with what it was decided by, and named in the reason of the request', async () => {
  const {fixture} = await startFixture([resetConnection, sendOk('second')]);
  fixture.retryLimits = {ratio: 0, windowMs: 10_000, slack: 0};

  expect((await fixture.send()).status).toBe(502);
  expect(fixture.events.listSince(0)).toContainEqual(
    expect.objectContaining({
      type: 'retry-denied',
      subject: 'pool',
      id: 'p',
      details: expect.objectContaining({
        cause: 'broken',
        spent: 0,
        allowed: 0,
        requests: 1,
        gateways: 1,
        countedMsAgo: 0,
      }),
    }),
  );
  expect(fixture.results[0].reason).toContain(
    'the retry budget of pool p is spent: 0 sent, 0 allowed by 1 requests',
  );
});

test('a granted retry is logged with its cause', async () => {
  const {fixture} = await startFixture([resetConnection, sendOk('second')]);

  expect((await fixture.send()).body).toBe('second');
  expect(fixture.events.listSince(0)).toContainEqual(
    expect.objectContaining({
      type: 'retry-granted',
      id: 'p',
      details: expect.objectContaining({cause: 'broken'}),
    }),
  );
});
