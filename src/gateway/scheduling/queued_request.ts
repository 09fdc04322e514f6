import {WaitingRequest} from '../../coordination/scheduling/waiting_request';
import {GatewayTarget} from '../../protocol/gateway_target';

/** A request in the queue of a gateway, with the means to send it. */
export interface QueuedRequest extends WaitingRequest {
  /** Returns a backend server with a free slot; undefined if there is none. */
  readonly findTarget: () => GatewayTarget | undefined;
  /**
   * Takes note that it leaves the queue until it may try a backend server again
   * that refused it; false if it avoids none.
   */
  readonly leaveToBackOff: () => boolean;
  readonly send: (target: GatewayTarget) => void;
}
