import {Group} from '../../protocol/group';

/** A change of groups that the planner wants committed. */
export type GroupAction =
  | {readonly type: 'set-group'; readonly group: Group; readonly reason: string}
  | {
      readonly type: 'drain-group' | 'remove-group';
      readonly groupId: string;
      readonly epoch: number;
      readonly reason: string;
    };
