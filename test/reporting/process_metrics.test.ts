import {expect, test} from 'vitest';
import {EventRing} from '../../src/common/event_ring';
import {ProcessMetrics} from '../../src/reporting/process_metrics';

test('events are counted by type, and request latencies are recorded by outcome', async () => {
  const events = EventRing.create();
  const metrics = ProcessMetrics.create({
    program: 'whinreel-entry',
    events: events.stream,
  });
  for (const tookMs of [10, 20, 1_000]) {
    events.record({
      type: 'request-answered',
      subject: 'request',
      id: 'q',
      reason: 'whole',
      details: {tookMs},
    });
  }
  const text = await metrics.format();

  expect(text).toContain(
    'whinreel_events_total{type="request-answered",program="whinreel-entry"} 3',
  );
  expect(text).toContain(
    'whinreel_request_milliseconds{outcome="answered",quantile="0.5",program="whinreel-entry"} 20',
  );
});

test('retries are counted by verdict and cause, with those that a throttled event stands for', async () => {
  const events = EventRing.create();
  const metrics = ProcessMetrics.create({
    program: 'whinreel-entry',
    events: events.stream,
  });
  for (const leftOut of [0, 4]) {
    events.record({
      type: 'retry-denied',
      subject: 'pool',
      id: 'p',
      reason: 'the retry budget of the pool is spent',
      details: {cause: 'broken', ...(leftOut > 0 ? {leftOut} : {})},
    });
  }

  expect(await metrics.format()).toContain(
    'whinreel_retries_total{verdict="denied",cause="broken",program="whinreel-entry"} 6',
  );
});

test('rejected responses are counted by cause, with those that a throttled event stands for', async () => {
  const events = EventRing.create();
  const metrics = ProcessMetrics.create({
    program: 'whinreel-entry',
    events: events.stream,
  });
  events.record({
    type: 'response-rejected',
    subject: 'request',
    id: 'q',
    reason: 'the answer belongs to another request',
    details: {cause: 'foreign', leftOut: 2},
  });

  expect(await metrics.format()).toContain(
    'whinreel_responses_rejected_total{cause="foreign",program="whinreel-entry"} 3',
  );
});

test('requests that an error ended are counted, with those that a throttled event stands for', async () => {
  const events = EventRing.create();
  const metrics = ProcessMetrics.create({
    program: 'whinreel-entry',
    events: events.stream,
  });
  events.record({
    type: 'request-fault',
    subject: 'request',
    id: 'q',
    reason: 'an error within the gateway ended the request',
    details: {leftOut: 2},
  });

  expect(await metrics.format()).toContain(
    'whinreel_request_faults_total{program="whinreel-entry"} 3',
  );
});
