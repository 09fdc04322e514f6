/** Guards against callers that name models without end: each took memory for good, and made every report longer. */
import {expect, test} from 'vitest';
import {DemandMeter} from '../../src/gateway/scheduling/demand_meter';
import {SaturatedModels} from '../../src/gateway/scheduling/saturated_models';
import {SlotQueues} from '../../src/gateway/scheduling/slot_queues';
import {PROFILE} from '../support/engine_plan';

const UNKNOWN = Array.from({length: 2_000}, (_, at) => `unknown-${at}`);
const clock = {now: () => 0};

test('requests for models that the rules do not know are not part of the demand', () => {
  const meter = DemandMeter.create(clock);
  for (const model of ['big', ...UNKNOWN]) {
    meter.recordArrival({model, promptTokens: 1}, PROFILE);
  }
  expect(Object.keys(meter.describe())).toEqual(['big']);
});

test('models that the rules do not know share one queue', () => {
  const queues = SlotQueues.create(clock);
  const pool = {pool: 'p', engine: PROFILE};
  const shared = new Set(UNKNOWN.map(model => queues.get({...pool, model})));
  expect(shared.size).toBe(1);
  expect(shared).not.toContain(queues.get({...pool, model: 'big'}));
  shared.forEach(queue => queue.recordArrival(0));
  expect(queues.describe().length).toBeLessThanOrEqual(1);
});

test('the report of models without a free slot is bounded and keeps the newest', () => {
  const saturated = SaturatedModels.create(clock);
  for (const model of UNKNOWN) {
    saturated.record(model);
  }
  saturated.record('big');
  expect(saturated.list().length).toBeLessThan(300);
  expect(saturated.list()).toContain('big');
});
