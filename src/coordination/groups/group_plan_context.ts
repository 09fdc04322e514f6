import {FreeHosts} from './free_hosts';
import {GroupPlanInput} from './group_plan_input';
import {HostView} from './host_view';
import {ReplicaDemand} from './replica_demand';

/** State shared by the steps of one plan. */
export interface GroupPlanContext {
  readonly input: GroupPlanInput;
  readonly hosts: ReadonlyMap<string, HostView>;
  /** Shrinks as hosts are allocated. */
  readonly free: FreeHosts;
  readonly demands: readonly ReplicaDemand[];
  /** Groups with lost members. */
  readonly brokenGroupIds: ReadonlySet<string>;
}
