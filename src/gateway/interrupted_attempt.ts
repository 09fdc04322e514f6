import {GatewayTarget} from '../protocol/gateway_target';

/** A run that ended with the connection on which it was answered. */
export interface InterruptedAttempt {
  readonly target: Pick<GatewayTarget, 'incarnation' | 'address'>;
  /** The request's identity. */
  readonly name: string;
  /** Some of its answer had come: it had begun well. */
  readonly hasResponseStarted: boolean;
}
