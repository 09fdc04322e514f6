import {createForecastKeys} from './scheduling/create_forecast_keys';
import {createStallThresholds} from './responses/create_stall_thresholds';
import {SlotWait} from './scheduling/slot_wait';
import {ProxiedRequestOptions} from './proxied_request_options';
import {RetryPolicy} from './retry_policy';
import {RequestHistory} from './request_history';
import {StallDetector} from './responses/stall_detector';

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
    policy: RetryPolicy.create({route, budget, clock, deadlineAt}),
    stall: StallDetector.create(balancer, createStallThresholds(stallInput)),
    wait: SlotWait.create({
      forecast,
      clock,
      ...forecastKeys,
      objectiveMs: route.objectiveMs,
      arrivedAt,
      deadlineAt,
      maxRetryAfterFraction: dialect.maxRetryAfterFraction,
      maxPauseMs: dialect.computeMaxPauseMs(route),
      reserveRetry: () =>
        signals.reserveRetry(
          balancer.listIncarnations({
            pool: pool.name,
            model: pool.engine ? model : undefined,
          }),
        ),
      findRepairMs: () => balancer.findRepairMs(model ?? ''),
    }),
  };
}
