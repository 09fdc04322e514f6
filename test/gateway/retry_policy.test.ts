import {expect, test} from 'vitest';
import {EventRing} from '../../src/common/event_ring';
import {RetryBudget} from '../../src/gateway/retries/retry_budget';
import {RetryLog} from '../../src/gateway/retries/retry_log';
import {RetryPolicy} from '../../src/gateway/retries/retry_policy';
import {GatewayRules} from '../../src/protocol/gateway_rules';

const WINDOW_MS = 10_000;
/** A grant that is older than this must be renewed. */
const FRESH_MS = 500;

/** A policy on a manual clock, whose budget borrows nothing. */
function start(requests: number) {
  let time = 0;
  const clock = {now: () => time};
  const budget = RetryBudget.create({
    limits: {ratio: 1, windowMs: WINDOW_MS},
    clock,
    leaseClock: {now: clock.now, pausedAt: -Infinity},
    askLoan: () => new Promise(() => undefined),
  });
  for (let count = 0; count < requests; count += 1) {
    budget.recordRequest();
  }
  const createPolicy = () =>
    RetryPolicy.create({
      route: {} as GatewayRules['routes'][number],
      pool: {name: 'p'},
      budget,
      retryLog: RetryLog.create({
        events: EventRing.create(),
        clock,
        describeGateways: () => ({gateways: 1, countedMsAgo: 0}),
      }),
      clock,
      deadlineAt: Infinity,
    });
  return {budget, createPolicy, wait: (ms: number) => (time += ms)};
}

test('only the first attempt that is written to a connection needs no retry', () => {
  const {createPolicy} = start(2);
  const policy = createPolicy();
  expect(policy.prepareSend()).toBe(true);
  policy.takeGrant();
  // No connection was made.
  expect(policy.takeRetry('not-run')).toBe('granted');
  expect(policy.prepareSend()).toBe(true);
  expect(policy.takeGrant()).toBeUndefined();
  policy.recordWritten();
  expect(policy.prepareSend()).toBe(true);
  expect(policy.takeGrant()).toBeDefined();
  expect(policy.prepareSend()).toBe(false);
});

test('a retry that was granted long ago is renewed when the request is sent', () => {
  const {budget, createPolicy, wait} = start(2);
  const policy = createPolicy();
  policy.recordWritten();
  expect(policy.takeRetry('broken')).toBe('granted');
  wait(FRESH_MS);
  expect(budget.hasRetry()).toBe(false);
  expect(policy.prepareSend()).toBe(true);
  // The requests that had earned it are too old by then.
  wait(WINDOW_MS);
  expect(policy.prepareSend()).toBe(false);
});

test('a retry that is not sent is given back', () => {
  const {budget, createPolicy, wait} = start(2);
  const policy = createPolicy();
  policy.recordWritten();
  expect(policy.takeRetry('broken')).toBe('granted');
  expect(budget.hasRetry()).toBe(false);
  wait(FRESH_MS);
  policy.cancelGrant();
  expect(budget.hasRetry()).toBe(true);
});
