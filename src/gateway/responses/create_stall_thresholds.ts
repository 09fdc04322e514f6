import {GatewayRules} from '../../protocol/gateway_rules';
import {computeStallTimeoutMs} from './compute_stall_timeout_ms';
import {SlotForecast} from '../scheduling/slot_forecast';
import {StallDetector} from './stall_detector';

const MS_PER_SECOND = 1_000;

/** The request whose thresholds are needed. */
interface StallThresholdsInput {
  readonly route: GatewayRules['routes'][number];
  readonly pool: GatewayRules['pools'][number];
  readonly model: string | undefined;
  readonly promptTokens: number;
  /** Key under which the forecast keeps the request's time to the first event. */
  readonly work: string;
  readonly forecast: SlotForecast;
}

/**
 * Creates the thresholds for one request, from the profile of its engine and
 * the recent times of its route.
 *
 * @example
 * const stall = StallDetector.create(balancer, createStallThresholds({route, pool, model, promptTokens, work, forecast}));
 */
export function createStallThresholds(
  input: StallThresholdsInput,
): Parameters<typeof StallDetector.create>[1] {
  const {route, pool, model, promptTokens, work, forecast} = input;
  // A prompt far longer than average takes time of its own to read.
  const tokensPerSecond = pool.engine?.promptTokensPerSecond ?? Infinity;
  const promptMs = (promptTokens / tokensPerSecond) * MS_PER_SECOND;
  return {
    stallMs: computeStallTimeoutMs(pool.engine, model),
    findExpectedStartMs: () =>
      (forecast.findAverageFirstEventMs(work) || route.objectiveMs) + promptMs,
    findLongestStartMs: () => forecast.findLongestFirstEventMs(work) + promptMs,
  };
}
