import {createStallThresholds} from './create_stall_thresholds';
import {createWorkNames} from './create_work_names';
import {FlowCourse} from './flow_course';
import {SlotWait} from './slot_wait';
import {RetryPolicy} from './retry_policy';
import {RequestFlowOptions} from './request_flow_options';
import {StallDetector} from './stall_detector';

/**
 * Creates what decides about one request and needs nothing of its flow.
 *
 * @example
 * const {policy, wait, stall} = createFlowParts(options);
 */
export function createFlowParts(options: RequestFlowOptions) {
  const {request, route, pool, arrivedAt, clock, budget} = options;
  const {board, forecast, dialect, signals} = options;
  const {model, promptTokens} = request;
  const holdMs = Math.min(route.timeoutMs, request.waitMs ?? Infinity);
  const deadlineAt = arrivedAt + holdMs;
  const names = createWorkNames({route, pool, model});
  const {work} = names;
  const judged = {route, pool, model, promptTokens, work, forecast};
  return {
    deadlineAt,
    names,
    course: FlowCourse.create(arrivedAt),
    policy: RetryPolicy.create({route, budget, clock, deadlineAt}),
    stall: StallDetector.create(board, createStallThresholds(judged)),
    wait: SlotWait.create({
      forecast,
      clock,
      ...names,
      objectiveMs: route.objectiveMs,
      arrivedAt,
      deadlineAt,
      maxRetryAfterFraction: dialect.honouredPart,
      maxPauseMs: dialect.computePatienceMs(route),
      reserveRetry: () =>
        signals.reserveRetry(
          board.listIncarnations({
            pool: pool.name,
            model: pool.engine ? model : undefined,
          }),
        ),
      findRepairMs: () => board.findRepairMs(model ?? ''),
    }),
  };
}
