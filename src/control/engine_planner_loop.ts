/** Lets the leader plan the groups of engines again and again, and gives its orders. */
import {Clock} from '../common/clock';
import {EventRing} from '../common/event_ring';
import {BackendView} from '../coordination/groups/backend_view';
import {countByDomain} from '../coordination/groups/count_by_domain';
import {DemandFollower} from '../coordination/groups/demand_follower';
import {EngineAction} from '../coordination/groups/engine_action';
import {EnginePlanInput} from '../coordination/groups/engine_plan_input';
import {planEngineGroups} from '../coordination/groups/plan_engine_groups';
import {splitHosts} from '../coordination/groups/split_hosts';
import {ControlCommand} from '../protocol/control_command';
import {EngineGroup} from '../protocol/engine_group';
import {listMemberIncarnations} from '../protocol/list_member_incarnations';
import {GatewayRules} from '../protocol/gateway_rules';
import {BackendHealth} from './backend_health';
import {BackendRegistry} from './backend_registry';
import {ControlSettings} from './control_settings';
import {GatewayDesk} from './gateway_desk';
import {HeadRelease} from './head_release';
import {OrderDispatcher} from './order_dispatcher';
import {RaftRuntime} from './raft_runtime';

/** A repair takes half a dozen steps, each of which waits for the next plan. */
const PLAN_EVERY_MS = 40;
/** A new leader first listens for this many registration intervals. */
const LISTEN_INTERVALS = 1.1;
/** Silence in registration intervals after which a backend server counts as away. */
const SILENT_INTERVALS = 3;
/** Without a new host for this many registration intervals, all that live are known. */
const SETTLED_INTERVALS = 0.7;

/** Hosts that were moved serve again within this time; only then is it seen what is missing. */
const REBALANCE_EVERY_MS = 2_500;

type Pool = GatewayRules['pools'][number];

/** What the loop works on. */
interface EnginePlannerOptions {
  readonly duties: NonNullable<ControlSettings['pools']>;
  readonly runtime: RaftRuntime;
  readonly registry: BackendRegistry;
  readonly desk: GatewayDesk;
  readonly clock: Clock;
  readonly events: EventRing;
}

/** Plans while this process leads. */
export class EnginePlannerLoop {
  private readonly timer: NodeJS.Timeout;
  private readonly health: BackendHealth;
  private readonly release: HeadRelease;
  private readonly orders: OrderDispatcher;
  /** When hosts were last moved: they are not moved again at once. */
  private rebalancedAt = -Infinity;
  /** How the hosts of each pool are split among its models. */
  private readonly followers = new Map<string, DemandFollower>();
  private plannedTerm = -1;
  private isCommitting = false;

  private constructor(private readonly options: EnginePlannerOptions) {
    const {duties, clock, registry, desk, events} = options;
    this.health = BackendHealth.create({
      duties,
      clock,
      registry,
      desk,
      events,
    });
    this.release = HeadRelease.create(registry, duties.stallMs);
    this.orders = OrderDispatcher.create(options);
    this.timer = setInterval(() => void this.run(), PLAN_EVERY_MS);
  }

  /**
   * Starts the loop.
   *
   * @example
   * const planner = EnginePlannerLoop.create({duties, runtime, registry, desk, clock, events});
   */
  static create(options: EnginePlannerOptions): EnginePlannerLoop {
    return new EnginePlannerLoop(options);
  }

  close(): void {
    clearInterval(this.timer);
  }

  private async run(): Promise<void> {
    const {runtime, clock, duties, registry} = this.options;
    const now = clock.now();
    this.release.refresh(runtime.state.engines.list(), now);
    const listenMs = duties.heartbeatMs * LISTEN_INTERVALS;
    const isListening = now - runtime.leadingSince < listenMs;
    if (!runtime.canAnswer() || this.isCommitting || isListening) {
      return;
    }
    if (this.plannedTerm !== runtime.raft.term) {
      this.plannedTerm = runtime.raft.term;
      this.orders.clear();
      this.health.clear();
      this.followers.clear();
    }
    registry.expire(now);
    const known = registry.list().map(view => view.registration.incarnation);
    this.orders.retain(new Set(known));
    this.isCommitting = true;
    try {
      for (const pool of runtime.state.channel.rules?.pools ?? []) {
        await this.planPool(pool, now);
      }
    } finally {
      this.isCommitting = false;
    }
  }

  private async planPool(pool: Pool, now: number): Promise<void> {
    const {runtime, registry, duties, desk} = this.options;
    const {engines} = runtime.state;
    if (!pool.engine) {
      return;
    }
    const groups = engines.list().filter(group => group.pool === pool.name);
    const backends = registry
      .list()
      .filter(({registration}) => registration.pool === pool.name);
    if (groups.length === 0 && !this.isSettled(backends, now)) {
      return;
    }
    this.recordHeld(groups);
    this.health.refresh(groups, now);
    const domains = countByDomain(this.listWell(backends));
    const input = {
      pool: pool.name,
      profile: pool.engine,
      groups,
      backends,
      isFirstStart: groups.length === 0 && backends.every(isEmpty),
      now,
      silentAfterMs: duties.heartbeatMs * SILENT_INTERVALS,
      isStillListening:
        now - runtime.leadingSince < duties.heartbeatMs * SILENT_INTERVALS,
      isRetired: (incarnation: string) => engines.isRetired(incarnation),
      mayRebalance: now - this.rebalancedAt > REBALANCE_EVERY_MS,
      epoch: runtime.raft.commitIndex,
      findLoading: (incarnation: string) =>
        this.orders.findLoading(incarnation),
      isPressed: (model: string) => desk.isPressed(model),
      isLost: (incarnation: string) => this.health.isLost(incarnation),
      isLetGo: (group: EngineGroup) => this.release.isLetGo(group, now),
      hasLeaver: (group: EngineGroup) => this.release.hasLeaver(group),
    };
    const actions = planEngineGroups(this.followDemand(input, domains));
    if (actions.some(action => 'isMove' in action && action.isMove)) {
      this.rebalancedAt = now;
    }
    await this.commitChanges(actions);
    for (const action of actions) {
      if (action.type === 'order') {
        this.orders.give(action, pool.engine, now);
      }
    }
  }

  /** Plans by shares that follow what callers ask for. */
  private followDemand(
    configured: Omit<EnginePlanInput, 'usual'>,
    domains: readonly number[],
  ): EnginePlanInput {
    const {desk, events} = this.options;
    const {pool} = configured;
    const follower = this.followers.get(pool) ?? DemandFollower.create();
    this.followers.set(pool, follower);
    const demand = desk.computeDemand();
    const {input, shifted} = splitHosts({
      follower,
      input: configured,
      domains,
      demand,
    });
    if (shifted) {
      const {from, to, missed} = shifted;
      events.record({
        type: 'hosts-shifted',
        subject: 'group',
        id: pool,
        reason: `${to} has more late answers for want of hosts than a move from ${from} costs`,
        details: {
          missed: Math.round(missed),
          ...Object.fromEntries(
            Object.entries(demand).map(([model, {requestsPerSecond}]) => [
              `${model} per second`,
              Math.round(requestsPerSecond),
            ]),
          ),
          ...Object.fromEntries(input.usual),
        },
      });
    }
    return input;
  }

  /** The first groups are planned once, with every host: no more are coming in. */
  private isSettled(backends: readonly BackendView[], now: number): boolean {
    const newest = Math.max(...backends.map(view => view.firstSeenAt));
    return now - newest > this.options.duties.heartbeatMs * SETTLED_INTERVALS;
  }

  /** Members that were told to leave still have the weights in memory. */
  private recordHeld(groups: readonly EngineGroup[]): void {
    const {registry} = this.options;
    for (const {members, model} of groups.filter(group => group.isEnding)) {
      members.forEach(({incarnation}) =>
        registry.recordHeld(incarnation, model),
      );
    }
  }

  private listWell(backends: readonly BackendView[]): BackendView[] {
    const {engines} = this.options.runtime.state;
    return backends.filter(
      ({registration: {incarnation}}) =>
        !engines.isRetired(incarnation) && !this.health.isLost(incarnation),
    );
  }

  private async commitChanges(actions: readonly EngineAction[]): Promise<void> {
    const {runtime, events} = this.options;
    const time = Date.now();
    const commands = actions.flatMap(action => createCommand(action, time));
    for (const command of commands) {
      const isSetting = command.type === 'set-engine-group';
      const id = isSetting ? command.group.name : command.name;
      const details: Record<string, string | number> = isSetting
        ? {
            members: listMemberIncarnations(command.group).join(' '),
            domain: command.group.domain,
          }
        : {epoch: command.epoch};
      const {type, reason} = command;
      events.record({type, subject: 'group', id, reason, details});
    }
    const proposals = commands.map(command => runtime.propose(command));
    // A change that fails is planned again; the loss of the lead is recorded elsewhere.
    await Promise.all(proposals).catch(() => undefined);
  }
}

function isEmpty({registration, heldModel}: BackendView): boolean {
  return heldModel === undefined && registration.stagedModels.length === 0;
}

type GroupCommand = Extract<
  ControlCommand,
  {
    type:
      | 'set-engine-group'
      | 'end-engine-group'
      | 'release-engine-group'
      | 'remove-engine-group';
  }
>;

const COMMANDS = {
  'end-group': 'end-engine-group',
  'release-group': 'release-engine-group',
  'remove-group': 'remove-engine-group',
} as const;

function createCommand(action: EngineAction, time: number): GroupCommand[] {
  if (action.type === 'order') {
    return [];
  }
  const {reason} = action;
  if (action.type === 'set-group') {
    // The epoch is the place in the log, known when it is committed.
    const group = {...action.group, epoch: 0};
    return [{type: 'set-engine-group', time, group, reason}];
  }
  const {name, epoch} = action;
  return [{type: COMMANDS[action.type], time, name, epoch, reason}];
}
