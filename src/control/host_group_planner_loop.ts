/** Lets the leader plan groups again and again. */
import {Clock} from '../common/clock';
import {planGroups} from '../coordination/groups/plan_groups';
import {planStandby} from '../coordination/groups/plan_standby';
import {Fleet} from './fleet';
import {RaftRuntime} from './raft_runtime';

const PLAN_EVERY_MS = 100;
/** A new leader first listens, so that it does not take silence for loss. */
const LISTEN_FIRST_MS = 2_000;

/** What the loop works on. */
interface PlannerLoopOptions {
  readonly runtime: RaftRuntime;
  readonly fleet: Fleet;
  readonly clock: Clock;
}

/** Plans while this process leads. */
export class HostGroupPlannerLoop {
  private readonly timer: NodeJS.Timeout;
  private leadingSince = 0;
  private leadingTerm = -1;
  private isCommitting = false;
  private standby: ReadonlyMap<string, string> = new Map();

  private constructor(private readonly options: PlannerLoopOptions) {
    this.timer = setInterval(() => void this.run(), PLAN_EVERY_MS);
  }

  /**
   * Starts the loop.
   *
   * @example
   * const planner = PlannerLoop.create({runtime, fleet, clock});
   */
  static create(options: PlannerLoopOptions): HostGroupPlannerLoop {
    return new HostGroupPlannerLoop(options);
  }

  /** The model that a free host should load in advance. */
  findStandby(hostId: string): string | null {
    return this.standby.get(hostId) ?? null;
  }

  close(): void {
    clearInterval(this.timer);
  }

  private async run(): Promise<void> {
    const {runtime, clock} = this.options;
    if (!runtime.canAnswer() || this.isCommitting) {
      return;
    }
    const now = clock.now();
    if (this.leadingTerm !== runtime.raft.term) {
      this.leadingTerm = runtime.raft.term;
      this.leadingSince = now;
    }
    if (now - this.leadingSince < LISTEN_FIRST_MS) {
      return;
    }
    this.isCommitting = true;
    await this.commitPlan(now).catch(() => undefined);
    this.isCommitting = false;
  }

  private async commitPlan(now: number): Promise<void> {
    const {runtime, fleet} = this.options;
    const {bundles, groups} = runtime.state;
    if (!bundles.bundle) {
      return;
    }
    const input = {
      bundle: bundles.bundle,
      groups: groups.list(),
      hosts: fleet.listHosts(now, hostId => runtime.state.isDrained(hostId)),
      findEpoch: (groupId: string) => groups.findEpoch(groupId),
      now,
    };
    this.standby = planStandby(input);
    const actions = planGroups(input);
    const time = Date.now();
    await Promise.all(
      actions.map(action => runtime.propose({...action, time})),
    );
  }
}
