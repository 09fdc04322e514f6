import {GatewayRules} from '../protocol/gateway_rules';
import {computeStallMs} from './compute_stall_ms';
import {PlaceForecast} from './place_forecast';
import {StallJudge} from './stall_judge';

const MS_PER_SECOND = 1_000;

/** Whose times they are. */
interface StallTimesInput {
  readonly route: GatewayRules['routes'][number];
  readonly pool: GatewayRules['pools'][number];
  readonly model: string | undefined;
  readonly promptTokens: number;
  /** As the forecast names it. */
  readonly work: string;
  readonly forecast: PlaceForecast;
}

/**
 * The times by which one request's backend server is judged: by the figures of
 * its engine, and by what its route took lately.
 *
 * @example
 * const stall = StallJudge.create(board, createStallTimes({route, pool, model, forecast}));
 */
export function createStallTimes(
  input: StallTimesInput,
): Parameters<typeof StallJudge.create>[1] {
  const {route, pool, model, promptTokens, work, forecast} = input;
  // A prompt far above the usual ones takes its own time to read.
  const tokensPerSecond = pool.engine?.promptTokensPerSecond ?? Infinity;
  const promptMs = (promptTokens / tokensPerSecond) * MS_PER_SECOND;
  return {
    stallMs: computeStallMs(pool.engine, model),
    findUsualStartMs: () =>
      (forecast.findWorkMs(work) || route.objectiveMs) + promptMs,
    findLongestStartMs: () => forecast.findLongestWorkMs(work) + promptMs,
  };
}
