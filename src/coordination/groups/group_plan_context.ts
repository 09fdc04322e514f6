import {FreeHosts} from './free_hosts';
import {GroupPlanInput} from './group_plan_input';
import {HostView} from './host_view';
import {ReplicaDemand} from './replica_demand';

/** What is shared while one plan is made. */
export interface GroupPlanContext {
  readonly input: GroupPlanInput;
  readonly hosts: ReadonlyMap<string, HostView>;
  /** Shrinks as hosts are given out. */
  readonly free: FreeHosts;
  readonly demands: readonly ReplicaDemand[];
  /** Groups with lost members. */
  readonly brokenGroupIds: ReadonlySet<string>;
}
