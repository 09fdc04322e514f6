import {ServerAddress} from '../common/server_address';
import {GatewayTargetMessage} from './gateway_target_message';

/** A backend server that a gateway may send requests to. */
export interface GatewayTarget extends Omit<GatewayTargetMessage, 'address'> {
  /** For requests. */
  readonly address: ServerAddress;
}
