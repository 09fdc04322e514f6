import {GatewayTarget} from '../../protocol/gateway_target';

/** A target and one gateway's view of it. */
export interface TargetState {
  target: GatewayTarget;
  /** Requests from this gateway. */
  running: number;
  /** Largest `running` before one of the requests that ended lately, and when that was. */
  recentPeak: {readonly running: number; readonly at: number};
  /** Requests sent by other gateways, as last reported. */
  runningElsewhere: number;
  /** Prompt tokens of this gateway's requests without a response so far. */
  waitingTokens: number;
  /** Prompt tokens of all running requests of this gateway. */
  promptTokens: number;
  lastActiveAt: number;
  avoidUntil: number;
  /** Until then the target counts as full, since it refused a request. */
  fullUntil: number;
  /** Until then the target counts as closed, since it answered that it does not serve its group. */
  closedUntil: number;
  stalledAt: number;
}
