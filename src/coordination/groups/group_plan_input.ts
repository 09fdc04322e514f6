import {Bundle} from '../../protocol/bundle';
import {Group} from '../../protocol/group';
import {HostView} from './host_view';

/** Input of the planner for replica groups. */
export interface GroupPlanInput {
  readonly bundle: Bundle;
  readonly groups: readonly Group[];
  readonly hosts: readonly HostView[];
  /** Returns the last epoch of a group id, 0 if it was never used. */
  readonly findEpoch: (groupId: string) => number;
  readonly now: number;
}
