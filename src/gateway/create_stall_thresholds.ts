import {GatewayRules} from '../protocol/gateway_rules';
import {computeStallTimeoutMs} from './compute_stall_timeout_ms';
import {SlotForecast} from './slot_forecast';
import {StallDetector} from './stall_detector';

const MS_PER_SECOND = 1_000;

/** Whose times they are. */
interface StallTimesInput {
  readonly route: GatewayRules['routes'][number];
  readonly pool: GatewayRules['pools'][number];
  readonly model: string | undefined;
  readonly promptTokens: number;
  /** As the forecast names it. */
  readonly work: string;
  readonly forecast: SlotForecast;
}

/**
 * The times by which one request's backend server is judged: by the figures of
 * its engine, and by what its route took lately.
 *
 * @example
 * const stall = StallJudge.create(board, createStallTimes({route, pool, model, forecast}));
 */
export function createStallThresholds(
  input: StallTimesInput,
): Parameters<typeof StallDetector.create>[1] {
  const {route, pool, model, promptTokens, work, forecast} = input;
  // A prompt far above the usual ones takes its own time to read.
  const tokensPerSecond = pool.engine?.promptTokensPerSecond ?? Infinity;
  const promptMs = (promptTokens / tokensPerSecond) * MS_PER_SECOND;
  return {
    stallMs: computeStallTimeoutMs(pool.engine, model),
    findUsualStartMs: () =>
      (forecast.findAverageFirstEventMs(work) || route.objectiveMs) + promptMs,
    findLongestStartMs: () => forecast.findLongestFirstEventMs(work) + promptMs,
  };
}
