import {describe, expect, test} from 'vitest';
import {PermitVerdict} from '../../src/protocol/permit_verdict';
import {
  sendOk,
  refuseNotRun,
  startFixture,
  writeRaw,
} from '../support/backend_scripts';
import {waitUntil} from '../support/wait_until';

const LATER: PermitVerdict = {kind: 'later', pauseMs: 400, intervalMs: 1_000};
const GRANTED: PermitVerdict = {kind: 'granted', pauseMs: 0, intervalMs: 0};
const FREE: PermitVerdict = {kind: 'free', pauseMs: 0, intervalMs: 0};
/** Callers honor a Retry-After delay within this share of their time. */
const MAX_RETRY_AFTER_FRACTION = 1 / 3;
const HELD_MS = 3_000;
/** Connections from the gateway of these tests to one backend server. */
const CONNECTIONS = 4;

/**
 * Starts backend servers, the first with a rate limit that the leader decides
 * on by this verdict.
 */
async function startLimited(verdict: PermitVerdict | undefined, count = 2) {
  const handlers = ['first', 'second'].map(text => sendOk(text));
  const {fixture, backends} = await startFixture(handlers.slice(0, count));
  if (verdict) {
    fixture.answerPermit = () => Promise.resolve(verdict);
  }
  fixture.signals.limits.record('i0', 5, 0);
  return {fixture, backends};
}

describe('a request for a rate-limited backend server', () => {
  test('is sent with a permit', async () => {
    const {fixture} = await startLimited(GRANTED);
    expect(await fixture.send()).toMatchObject({status: 200, body: 'first'});
  });

  test('is sent without a permit once the control plane lists no limit', async () => {
    const {fixture} = await startLimited(FREE);
    expect(await fixture.send()).toMatchObject({status: 200, body: 'first'});
    expect(fixture.signals.limits.isLimited('i0')).toBe(false);
  });

  test.each([
    ['the leader denies it', LATER],
    ['there is no leader', undefined],
  ])('is sent to another one at once if %s', async (_why, verdict) => {
    const {fixture, backends} = await startLimited(verdict);
    expect(await fixture.send()).toMatchObject({status: 200, body: 'second'});
    expect(backends[0].requests).toEqual([]);
  });

  test('is refused at once if there is no other, with the delay until the next permit', async () => {
    const {fixture, backends} = await startLimited(LATER, 1);
    const {status, headers, body} = await fixture.send();
    expect(status).toBe(503);
    expect(body).toContain('nothing more to i0 by the limit that it names');
    const retryMs = Number(headers['retry-after']) * 1_000;
    expect(retryMs).toBeGreaterThan(0);
    expect(retryMs).toBeLessThanOrEqual(LATER.pauseMs);
    expect(backends[0].requests).toEqual([]);

    // The next caller gets a longer delay than the one before.
    const next = await fixture.send();
    const nextMs = Number(next.headers['retry-after']) * 1_000;
    expect(nextMs).toBeGreaterThan(retryMs);
    expect(nextMs).toBeLessThanOrEqual(HELD_MS * MAX_RETRY_AFTER_FRACTION);
  });
});

test('a backend server that restarts at its address is free of the signals of its former incarnation', async () => {
  const {fixture} = await startFixture([sendOk('again')]);
  const before = {incarnation: 'i0', sentAt: 0};
  const head = {limitPerSecond: 0, restMs: 60_000, isLeaving: true};
  fixture.signals.recordHead({...before, head: {...head, isSealed: true}});
  expect((await fixture.send()).status).toBe(503);
  const [[, target]] = fixture.targets;
  const restarted = {...target, incarnation: 'i0-again'};
  fixture.balancer.setTargets(new Map([['i0-again', restarted]]));

  expect(await fixture.send()).toMatchObject({status: 200, body: 'again'});
});

describe('a request that waits for a connection', () => {
  test.each([
    ['announces a limit', {limitPerSecond: 5}],
    ['asks for a backoff', {restMs: 5_000}],
    ['announces its shutdown', {isLeaving: true}],
  ])('is sent elsewhere once its backend server %s', async (_what, said) => {
    const silent = () => undefined;
    const {fixture, backends} = await startFixture([silent, sendOk('second')]);
    fixture.balancer.setTargets(new Map(fixture.targets.slice(0, 1)));
    for (let count = 0; count < CONNECTIONS; count += 1) {
      fixture.startRequest();
    }
    const waiting = fixture.send();
    await waitUntil('all sent', () => fixture.requestCount > CONNECTIONS);
    fixture.balancer.setTargets(new Map(fixture.targets));
    const head = {...said, isSealed: true};
    fixture.signals.recordHead({incarnation: 'i0', head, sentAt: 0});

    expect(await waiting).toMatchObject({status: 200, body: 'second'});
    expect(backends[0].requests.length).toBe(CONNECTIONS);
  });
});

describe('a rate limit', () => {
  test('remains after an unsealed response', async () => {
    const unsealed = writeRaw(
      'HTTP/1.1 503 Full\nrequest-id: q\nnot-run: 1\ncontent-length: 0\n\n',
    );
    const {fixture} = await startFixture([unsealed, sendOk('second')]);
    fixture.answerPermit = () => Promise.resolve(GRANTED);
    fixture.signals.limits.record('i0', 5, 0);
    await fixture.send();
    expect(fixture.signals.limits.isLimited('i0')).toBe(true);
  });

  test('ends with a response without one', async () => {
    const {fixture} = await startLimited(GRANTED);
    await fixture.send();
    expect(fixture.signals.limits.isLimited('i0')).toBe(false);
  });
});

describe('a request whose backend servers are unavailable', () => {
  test('is refused at once during the backoff of the only one, until that is over', async () => {
    const refusal = writeRaw(
      'HTTP/1.1 503 Busy\nrequest-id: q\nnot-run: 1\nrest-ms: 700\ncontent-length: 0\n\n',
    );
    const {fixture, backends} = await startFixture([refusal]);
    const first = await fixture.send();
    const second = await fixture.send();
    for (const {status, headers, body} of [first, second]) {
      expect(status).toBe(503);
      expect(body).toContain('nothing more to i0 since it asked for rest');
      expect(Number(headers['retry-after'])).toBeLessThanOrEqual(0.7);
    }
    expect(backends[0].requests.length).toBe(1);
  });

  test('is refused once the only one has announced its shutdown', async () => {
    const {fixture, backends} = await startFixture([
      sendOk('bye', 'leaving: 1\n'),
    ]);
    expect(await fixture.send()).toMatchObject({status: 200, body: 'bye'});
    const {status, body} = await fixture.send();
    expect(status).toBe(503);
    expect(body).toContain('nothing more to i0 since it leaves');
    expect(backends[0].requests.length).toBe(1);
  });

  test('is sent as before after a refusal without a backoff', async () => {
    const {fixture, backends} = await startFixture([
      refuseNotRun,
      sendOk('second'),
    ]);
    expect(await fixture.send()).toMatchObject({status: 200, body: 'second'});
    expect(await fixture.send()).toMatchObject({status: 200, body: 'second'});
    expect(backends[0].requests.length).toBe(2);
  });
});
