import {describe, expect, test} from 'vitest';
import {DemandMeter} from '../../src/gateway/scheduling/demand_meter';
import {PROFILE} from '../support/engine_plan';

function create() {
  const clock = {time: 0, now: () => clock.time};
  const meter = DemandMeter.create(clock);
  const arrive = (perSecond: number, durationMs: number) => {
    const until = clock.time + durationMs;
    for (; clock.time < until; clock.time += 1_000 / perSecond) {
      meter.recordArrival({model: 'big', promptTokens: 500}, PROFILE);
    }
  };
  const readRate = () => meter.describe().big?.requestsPerSecond ?? 0;
  return {clock, meter, arrive, readRate};
}

describe('the measured demand', () => {
  test('is accurate from the first second on', () => {
    const {arrive, readRate} = create();
    arrive(20, 1_000);
    expect(readRate()).toBeGreaterThan(17);
    expect(readRate()).toBeLessThan(24);
  });

  test('follows a burst, and its end, within three seconds', () => {
    const {clock, arrive, readRate} = create();
    arrive(20, 10_000);
    arrive(60, 3_000);
    expect(readRate()).toBeGreaterThan(48);
    clock.time += 3_000;
    expect(readRate()).toBeLessThan(16);
  });

  test('includes prompt tokens and the length of complete responses', () => {
    const {meter, arrive} = create();
    arrive(20, 10_000);
    const answered = {outcome: 'answered' as const, events: 10};
    meter.recordResult({model: 'big'}, PROFILE, answered);
    const failed = {outcome: 'failed' as const, events: 1};
    meter.recordResult({model: 'big'}, PROFILE, failed);
    const {requestsPerSecond, promptTokensPerSecond, answerTokensPerSecond} =
      meter.describe().big;
    expect(promptTokensPerSecond / requestsPerSecond).toBeCloseTo(500);
    expect(answerTokensPerSecond / requestsPerSecond).toBeCloseTo(
      10 * PROFILE.stepsPerEvent,
    );
  });

  test('ignores plain services and requests without a model', () => {
    const {meter} = create();
    meter.recordArrival({model: 'big', promptTokens: 1}, undefined);
    meter.recordArrival({model: undefined, promptTokens: 1}, PROFILE);
    expect(meter.describe()).toEqual({});
  });
});
