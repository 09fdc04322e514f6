import {setTimeout as delay} from 'node:timers/promises';
import {expect, test} from 'vitest';
import {
  resetConnection,
  sendOk,
  startFixture,
  writeRaw,
} from '../support/backend_scripts';

test('a denied retry is logged with what it was decided by, and named in the reason of the request', async () => {
  const {fixture} = await startFixture([resetConnection, sendOk('second')]);
  fixture.retryLimits = {ratio: 0, windowMs: 10_000};

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

test('a request waits for a loan that control is deciding on', async () => {
  const {fixture} = await startFixture([resetConnection, sendOk('second')]);
  fixture.retryLimits = {ratio: 0, windowMs: 10_000};
  fixture.answerLoan = async () => {
    await delay(50);
    return {granted: 1, pauseMs: 0};
  };

  expect((await fixture.send()).body).toBe('second');
});

test('a request fails when no loan is granted in time', async () => {
  const {fixture} = await startFixture([resetConnection, sendOk('second')]);
  fixture.retryLimits = {ratio: 0, windowMs: 10_000};
  fixture.answerLoan = async () => {
    await delay(1_000);
    return {granted: 1, pauseMs: 0};
  };

  expect((await fixture.send()).status).toBe(502);
  expect(fixture.events.listSince(0).map(({type}) => type)).toContain(
    'retry-denied',
  );
});

test('the failure of a backend server is passed on when no retry is left', async () => {
  const {fixture, backends} = await startFixture([
    writeRaw(
      'HTTP/1.1 500 Failed\nrequest-id: q\nseal: s\ncontent-length: 4\n\nfail',
    ),
    sendOk('second'),
  ]);
  fixture.retryLimits = {ratio: 0, windowMs: 10_000};
  const received = await fixture.send();

  expect(received.status).toBe(500);
  expect(received.body).toBe('fail');
  expect(backends[1].requests).toHaveLength(0);
});
