import {expect, test} from 'vitest';
import {GatewayCounts} from '../../src/gateway/control/gateway_counts';

function start() {
  let time = 0;
  const counts = GatewayCounts.create({now: () => time});
  return {counts, wait: (ms: number) => (time += ms)};
}

// A new leader told the first gateways that polled it that they were alone.
test('a new leader that has heard few gateways does not enlarge the shares of limits', () => {
  const {counts, wait} = start();
  counts.record(5);
  wait(250);
  counts.record(1);
  expect(counts.largest).toBe(5);
  wait(250);
  counts.record(4);
  expect(counts.largest).toBe(5);
});

test('gateways that are gone no longer count after some seconds', () => {
  const {counts, wait} = start();
  counts.record(5);
  for (let count = 0; count < 41; count += 1) {
    wait(250);
    counts.record(3);
  }
  expect(counts.largest).toBe(3);
});

test('the newest count holds while control is silent', () => {
  const {counts, wait} = start();
  expect(counts.largest).toBe(1);
  counts.record(5);
  wait(60_000);
  expect(counts.largest).toBe(5);
});
