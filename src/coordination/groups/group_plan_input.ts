import {Bundle} from '../../protocol/bundle';
import {ReplicaGroup} from '../../protocol/replica_group';
import {HostView} from './host_view';

/** What a plan of groups is made from. */
export interface GroupPlanInput {
  readonly bundle: Bundle;
  readonly groups: readonly ReplicaGroup[];
  readonly hosts: readonly HostView[];
  /** Last epoch of a group id, 0 when it never was. */
  readonly findEpoch: (groupId: string) => number;
  readonly now: number;
}
