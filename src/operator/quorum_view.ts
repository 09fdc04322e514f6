import {ServerAddress} from '../common/server_address';
import {QuorumStatus} from '../protocol/quorum_status';

/** How one control process sees the quorum, or why it did not say. */
export interface QuorumView {
  readonly address: ServerAddress;
  readonly status?: QuorumStatus;
  readonly failure?: string;
}
