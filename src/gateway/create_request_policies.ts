import {createForecastKeys} from './create_forecast_keys';
import {createStallTimes} from './create_stall_times';
import {PlaceWait} from './place_wait';
import {ProxiedRequestOptions} from './proxied_request_options';
import {RepeatPolicy} from './repeat_policy';
import {RequestHistory} from './request_history';
import {StallJudge} from './stall_judge';

/**
 * Creates the history, deadline and policies of one request, which need none of its state.
 *
 * @example
 * const {policy, wait, stall} = createRequestPolicies(options);
 */
export function createRequestPolicies(options: ProxiedRequestOptions) {
  const {request, route, pool, arrivedAt, clock, budget} = options;
  const {balancer, forecast, dialect, signals} = options;
  const {model, promptTokens} = request;
  const timeoutMs = Math.min(route.timeoutMs, request.waitMs ?? Infinity);
  const deadlineAt = arrivedAt + timeoutMs;
  const forecastKeys = createForecastKeys({route, pool, model});
  const {work} = forecastKeys;
  const stallInput = {route, pool, model, promptTokens, work, forecast};
  return {
    deadlineAt,
    forecastKeys,
    history: RequestHistory.create(arrivedAt),
    policy: RepeatPolicy.create({route, budget, clock, deadlineAt}),
    stall: StallJudge.create(balancer, createStallTimes(stallInput)),
    wait: PlaceWait.create({
      forecast,
      clock,
      ...forecastKeys,
      objectiveMs: route.objectiveMs,
      arrivedAt,
      deadlineAt,
      honouredPart: dialect.maxRetryAfterFraction,
      patienceMs: dialect.computeMaxPauseMs(route),
      takeOpening: () =>
        signals.takeOpening(
          balancer.listIncarnations({
            pool: pool.name,
            model: pool.engine ? model : undefined,
          }),
        ),
      findRepairMs: () => balancer.findRepairMs(model ?? ''),
    }),
  };
}
