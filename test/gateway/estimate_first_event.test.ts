import {describe, expect, test} from 'vitest';
import {estimateFirstEventMs} from '../../src/gateway/routing/estimate_first_event';
import {BatchingEngine} from '../support/batching_engine';
import {PROFILE} from '../support/engine_plan';

// Guards against an estimate in the wrong unit or without a part of the time: targets were
// compared by weights of 250 tokens per request and 60 per zone, which no engine confirmed.

const BATCHING = {
  slots: PROFILE.slots,
  stepMs: PROFILE.stepMs,
  stepMsPerRequest: PROFILE.stepMsPerRequest,
  tokensPerMs: PROFILE.promptTokensPerSecond / 1_000,
  chunkTokens: PROFILE.promptChunkTokens,
  stepsPerEvent: PROFILE.stepsPerEvent,
};
const WARM_UP_MS = 2_000;
const PHASES = 40;

/** Returns the mean time to the first event of a request that arrives at different times within a pass. */
function simulate(running: number, promptTokens: number, pace: number): number {
  let sum = 0;
  for (let phase = 0; phase < PHASES; phase += 1) {
    const engine = BatchingEngine.create({...BATCHING, pace});
    const ignore = {onEvent: () => undefined, onEnd: () => undefined};
    for (let count = 0; count < running; count += 1) {
      engine.add(0, {unreadTokens: 1, eventsLeft: 10_000, ...ignore});
    }
    const arrivesAt = WARM_UP_MS + phase * 2;
    const advance = (until: number) => {
      while ((engine.batchEndsAt ?? Infinity) <= until) {
        engine.endBatch();
      }
    };
    advance(arrivesAt);
    let firstAt: number | undefined;
    engine.add(arrivesAt, {
      unreadTokens: promptTokens,
      eventsLeft: 1,
      onEvent: at => (firstAt = at),
      onEnd: () => undefined,
    });
    while (firstAt === undefined) {
      engine.endBatch();
    }
    sum += firstAt - arrivesAt;
  }
  return sum / PHASES;
}

describe('the estimate of the first event', () => {
  test.each([
    [0, 830, 1],
    [8, 830, 1],
    [30, 830, 1],
    [30, 830, 0.5],
    [20, 15_000, 1],
  ])(
    'is within a fifth of an engine with %d requests, %d prompt tokens and pace %d',
    (running, promptTokens, pace) => {
      const models = [{...PROFILE.models[0], name: 'm', pace}];
      const estimated = estimateFirstEventMs({
        engine: {...PROFILE, models},
        model: 'm',
        running,
        waitingTokens: promptTokens,
      });
      const simulated = simulate(running, promptTokens, pace);

      expect(estimated / simulated).toBeGreaterThan(0.8);
      expect(estimated / simulated).toBeLessThan(1.2);
    },
  );

  test('increases with each request beyond the slots', () => {
    const estimate = (running: number) =>
      estimateFirstEventMs({
        engine: PROFILE,
        model: 'big',
        running,
        waitingTokens: 0,
      });
    const passMs = 3 * (6 + 34 * 0.3);

    expect(estimate(36) - estimate(35)).toBeCloseTo(passMs, 5);
  });
});
