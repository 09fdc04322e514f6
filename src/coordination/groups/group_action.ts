import {ReplicaGroup} from '../../protocol/replica_group';

/** A change of groups that the planner wants committed. */
export type GroupAction =
  | {
      readonly type: 'set-group';
      readonly group: ReplicaGroup;
      readonly reason: string;
    }
  | {
      readonly type: 'drain-group' | 'remove-group';
      readonly groupId: string;
      readonly epoch: number;
      readonly reason: string;
    };
