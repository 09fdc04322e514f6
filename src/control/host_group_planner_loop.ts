/** Periodically plans the groups of hosts and proposes the changes while this process leads. */
import {Clock} from '../common/clock';
import {planGroups} from '../coordination/groups/plan_groups';
import {planStandby} from '../coordination/groups/plan_standby';
import {Fleet} from './fleet';
import {RaftRuntime} from './raft_runtime';

const PLAN_EVERY_MS = 100;
/** A new leader first collects reports, so that it doesn't take hosts it hasn't heard from yet for lost. */
const INITIAL_LISTEN_MS = 2_000;

/** Dependencies of the loop. */
interface HostGroupPlannerLoopOptions {
  readonly runtime: RaftRuntime;
  readonly fleet: Fleet;
  readonly clock: Clock;
}

/** Reconciles groups of hosts with the bundle in force. */
export class HostGroupPlannerLoop {
  private readonly timer: NodeJS.Timeout;
  private leadingSince = 0;
  private leadingTerm = -1;
  private isCommitting = false;
  private standby: ReadonlyMap<string, string> = new Map();

  private constructor(private readonly options: HostGroupPlannerLoopOptions) {
    this.timer = setInterval(() => void this.run(), PLAN_EVERY_MS);
  }

  /**
   * Starts the loop.
   *
   * @example
   * const planner = HostGroupPlannerLoop.create({runtime, fleet, clock});
   */
  static create(options: HostGroupPlannerLoopOptions): HostGroupPlannerLoop {
    return new HostGroupPlannerLoop(options);
  }

  /** The model that a host without a group should preload; null for none. */
  findStandby(hostId: string): string | null {
    return this.standby.get(hostId) ?? null;
  }

  close(): void {
    clearInterval(this.timer);
  }

  private async run(): Promise<void> {
    const {runtime, clock} = this.options;
    if (!runtime.canServe() || this.isCommitting) {
      return;
    }
    const now = clock.now();
    if (this.leadingTerm !== runtime.raft.term) {
      this.leadingTerm = runtime.raft.term;
      this.leadingSince = now;
    }
    if (now - this.leadingSince < INITIAL_LISTEN_MS) {
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
