import {Bundle} from '../../protocol/bundle';
import {Group} from '../../protocol/group';
import {HostView} from './host_view';

/** What a plan of groups is made from. */
export interface GroupPlanInput {
  readonly bundle: Bundle;
  readonly groups: readonly Group[];
  readonly hosts: readonly HostView[];
  /** Last epoch of a group id, 0 when it never was. */
  readonly findEpoch: (groupId: string) => number;
  readonly now: number;
}
