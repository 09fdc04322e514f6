import {GatewayRules} from '../protocol/gateway_rules';
import {computeStallMs} from './compute_stall_ms';
import {PlaceForecast} from './place_forecast';
import {StallJudge} from './stall_judge';

/** Whose times they are. */
interface StallTimesInput {
  readonly route: GatewayRules['routes'][number];
  readonly pool: GatewayRules['pools'][number];
  readonly model: string | undefined;
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
  const {route, pool, model, forecast} = input;
  const isStream = route.kind === 'stream';
  return {
    stallMs: isStream ? computeStallMs(pool.engine, model) : 0,
    findUsualStartMs: () =>
      forecast.findWorkMs(route.name) || route.objectiveMs,
    findLongestStartMs: () => forecast.findLongestWorkMs(route.name),
  };
}
