import {GatewayTarget} from '../protocol/gateway_target';

/** An attempt whose connection broke before the response was complete. */
export interface InterruptedAttempt {
  readonly target: Pick<GatewayTarget, 'incarnation' | 'address'>;
  /** The request's identity. */
  readonly name: string;
  /** Names of the parts of its prompt that other requests may share. */
  readonly parts?: readonly string[];
  /** Part of the response had arrived, so the request itself was not the cause. */
  readonly hasResponseStarted: boolean;
}
