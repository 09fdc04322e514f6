import {GatewayTarget} from '../../protocol/gateway_target';
import {TargetState} from './target_state';

/**
 * Creates the view of a target that this gateway has not sent anything to.
 *
 * @example
 * states.set(target.incarnation, createTargetState(target));
 */
export function createTargetState(target: GatewayTarget): TargetState {
  return {
    target,
    running: 0,
    recentPeak: {running: 0, at: -Infinity},
    runningElsewhere: 0,
    waitingTokens: 0,
    promptTokens: 0,
    lastActiveAt: -Infinity,
    avoidUntil: -Infinity,
    fullUntil: -Infinity,
    closedUntil: -Infinity,
    stalledAt: -Infinity,
  };
}
