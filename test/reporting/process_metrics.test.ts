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
