import {estimateRequestWork} from '../coordination/scheduling/estimate_request_work';
import {computeTimeoutMs} from './compute_timeout_ms';
import {createForecastKey} from './scheduling/create_forecast_key';
import {createStallThresholds} from './responses/create_stall_thresholds';
import {SlotWait} from './scheduling/slot_wait';
import {ProxiedRequestOptions} from './proxied_request_options';
import {RetryPolicy} from './retries/retry_policy';
import {RequestHistory} from './request_history';
import {StallDetector} from './responses/stall_detector';

/**
 * Creates the history, deadline and policies of one request, which need none of its state.
 *
 * @example
 * const {policy, wait, stall} = createRequestPolicies(options);
 */
export function createRequestPolicies(options: ProxiedRequestOptions) {
  const {request, route, pool, arrivedAt, clock} = options;
  const {balancer, forecast, dialect, signals} = options;
  const {model, promptTokens} = request;
  const timeoutMs = computeTimeoutMs(request, route);
  const deadlineAt = arrivedAt + timeoutMs;
  const work = createForecastKey({route, pool});
  const stallInput = {route, pool, model, promptTokens, work, forecast};
  return {
    deadlineAt,
    work,
    history: RequestHistory.create(arrivedAt),
    policy: RetryPolicy.create({...options, deadlineAt}),
    stall: StallDetector.create(balancer, createStallThresholds(stallInput)),
    wait: SlotWait.create({
      ...createSlotOptions(options),
      forecast,
      clock,
      work,
      objectiveMs: route.objectiveMs,
      arrivedAt,
      waitedMs: forecast.estimateWaitedMs(
        work,
        request.waitMs === undefined ? undefined : timeoutMs,
      ),
      deadlineAt,
      isStream: route.kind === 'stream',
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

/** What the queue for engine slots needs to know of the request and of the engines. */
function createSlotOptions(options: ProxiedRequestOptions) {
  const {request, pool, balancer, forecast, urgency, workspace} = options;
  const {model = '', promptTokens} = request;
  const {name, engine} = pool;
  const queue = engine && forecast.queues.get({pool: name, model, engine});
  const answerTokens = queue?.expectedAnswerTokens ?? 0;
  return {
    queue,
    urgency,
    workspace: workspace ?? '',
    workMs: engine
      ? estimateRequestWork({engine, model, promptTokens, answerTokens})
      : 0,
    readLoad: () => balancer.readLoad({pool: name, model: request.model}),
  };
}
