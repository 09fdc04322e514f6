import {WaitingRequest} from '../../coordination/scheduling/waiting_request';
import {GatewayTarget} from '../../protocol/gateway_target';

/** A request in the queue of a gateway, with the means to send it. */
export interface QueuedRequest extends WaitingRequest {
  /**
   * Returns a backend server with a free slot; undefined if there is none.
   *
   * @param full keys of those that have none for this gateway
   */
  readonly findTarget: (full: readonly string[]) => GatewayTarget | undefined;
  readonly send: (target: GatewayTarget) => void;
}
