/** Lets the leader plan the groups of engines again and again, and gives its orders. */
import {Clock} from '../common/clock';
import {EventRing} from '../common/event_ring';
import {BackendView} from '../coordination/backend_view';
import {EngineAction} from '../coordination/engine_action';
import {planEngineGroups} from '../coordination/plan_engine_groups';
import {ControlCommand} from '../protocol/control_command';
import {EngineGroup} from '../protocol/engine_group';
import {EngineProfile} from '../protocol/engine_profile';
import {GatewayRules} from '../protocol/gateway_rules';
import {BackendHealth} from './backend_health';
import {BackendRegistry} from './backend_registry';
import {ControlSettings} from './control_settings';
import {GatewayDesk} from './gateway_desk';
import {HeadRelease} from './head_release';
import {LoadAllowance} from './load_allowance';
import {RaftRuntime} from './raft_runtime';

/** A repair takes half a dozen steps, each of which waits for the next plan. */
const PLAN_EVERY_MS = 40;
/** A new leader first listens for this many registration intervals. */
const LISTEN_INTERVALS = 1.1;
/** Silence in registration intervals after which a backend server counts as away. */
const SILENT_INTERVALS = 3;
/** Without a new host for this many registration intervals, all that live are known. */
const SETTLED_INTERVALS = 0.7;
/** An order that was taken shows in a registration; longer silence asks again. */
const RETRY_MS = {
  begun: 3_000,
  holds: 1_000,
  // An engine tells its count of orders some 200 ms late, and expects the right one.
  unfit: 200,
  unanswered: 1_500,
  fenced: 30_000,
};

/** A closing engine that leaves says nothing when it is done, so it is asked. */
const CLOSE_CHECK_MS = 250;
/** Margin below the pool's limit on loads, for those of a leader before. */
const SERVING_LOAD_FACTOR = 0.9;
/** Before the first request many hosts load at once, each the slower for it. */
const EARLY_LOAD_FACTOR = 3;
/** After a group ends, its hosts serve again within this time; only then is it seen what is missing. */
const REBALANCE_EVERY_MS = 2_500;
/** Loads slow each other down; longer than this one has been lost. */
const SLOW_LOAD = 2;

type Pool = GatewayRules['pools'][number];
type Order = Extract<EngineAction, {type: 'order'}>;

/** An order that was given. */
interface LastOrder {
  readonly key: string;
  /** When the same order may be given again. */
  againAt: number;
  /** No answer came yet. */
  isPending: boolean;
}

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
  private readonly allowance: LoadAllowance;
  private readonly peaks = new Map<string, number>();
  /** The newest order to each engine, by incarnation. */
  private readonly lastOrders = new Map<string, LastOrder>();
  /** When the loads that were ordered should be done, by incarnation. */
  private readonly loadsUntil = new Map<string, number>();
  /** When a group was last ended, for whatever reason. */
  private rebalancedAt = -Infinity;
  private wasServing = false;
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
    this.allowance = LoadAllowance.create(0, clock.now());
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
      this.lastOrders.clear();
      this.health.clear();
      this.peaks.clear();
    }
    registry.expire(now);
    this.isCommitting = true;
    for (const pool of runtime.state.channel.rules?.pools ?? []) {
      await this.planPool(pool, now);
    }
    this.isCommitting = false;
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
    this.recordPeaks(groups.map(group => group.model));
    this.health.refresh(groups, now);
    const actions = planEngineGroups({
      pool: pool.name,
      profile: pool.engine,
      groups,
      backends,
      peaks: this.peaks,
      now,
      silentAfterMs: duties.heartbeatMs * SILENT_INTERVALS,
      isStillListening:
        now - runtime.leadingSince < duties.heartbeatMs * SILENT_INTERVALS,
      isRetired: incarnation => engines.isRetired(incarnation),
      mayRebalance: now - this.rebalancedAt > REBALANCE_EVERY_MS,
      isPressed: model => desk.isPressed(model),
      isLost: incarnation => this.health.isLost(incarnation),
      isLetGo: group => this.release.isLetGo(group, now),
      hasLeaver: group => this.release.hasLeaver(group),
    });
    if (actions.some(action => action.type === 'end-group')) {
      this.rebalancedAt = now;
    }
    await this.commitChanges(actions);
    for (const action of actions) {
      if (action.type === 'order') {
        this.giveOrder(action, pool.engine, now);
      }
    }
  }

  /** The first groups are planned once, with every host: no more are coming in. */
  private isSettled(backends: readonly BackendView[], now: number): boolean {
    const newest = Math.max(...backends.map(view => view.firstSeenAt));
    return now - newest > this.options.duties.heartbeatMs * SETTLED_INTERVALS;
  }

  private recordPeaks(models: readonly string[]): void {
    for (const model of new Set(models)) {
      const count = models.filter(other => other === model).length;
      this.peaks.set(model, Math.max(count, this.peaks.get(model) ?? 0));
    }
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
            members: listMembers(command.group).join(' '),
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

  private giveOrder(order: Order, profile: EngineProfile, now: number): void {
    const {incarnation, kind, group} = order;
    const key = `${kind} ${group?.epoch ?? ''}`;
    const last = this.lastOrders.get(incarnation);
    // The same order waits for its effect; another one only for the answer.
    const isHeld = last?.isPending || (last?.key === key && now < last.againAt);
    if (isHeld) {
      return;
    }
    if (order.isLoad && !this.takeLoad(order, profile, now)) {
      return;
    }
    const entry = {key, againAt: Infinity, isPending: true};
    this.lastOrders.set(incarnation, entry);
    const loadMs =
      profile.models.find(({name}) => name === order.model)?.loadMs ?? 0;
    void this.sendOrder(order)
      .catch(() => 'unanswered' as const)
      .then(outcome => {
        entry.isPending = false;
        const isLoading = order.isLoad && outcome === 'begun';
        // An engine that does not fit is loading something else.
        this.recordEffect(order, outcome);
        const isBusy = kind === 'stage' && outcome === 'unfit';
        const waitMs =
          isLoading || isBusy ? loadMs * SLOW_LOAD : RETRY_MS[outcome];
        const isClosing = kind === 'close' && outcome === 'begun';
        entry.againAt =
          this.options.clock.now() + (isClosing ? CLOSE_CHECK_MS : waitMs);
      });
  }

  /** Before the first request loads are quick and do not count against the limit. */
  private takeLoad(order: Order, profile: EngineProfile, now: number): boolean {
    const {hasServed} = this.options.desk;
    if (hasServed !== this.wasServing) {
      this.wasServing = hasServed;
      this.allowance.clear();
      this.loadsUntil.clear();
    }
    for (const [incarnation, endsAt] of this.loadsUntil) {
      if (endsAt < now) {
        this.loadsUntil.delete(incarnation);
      }
    }
    const isFull = hasServed && this.loadsUntil.size >= profile.concurrentLoads;
    const factor = hasServed ? SERVING_LOAD_FACTOR : EARLY_LOAD_FACTOR;
    const perSecond = profile.loadsPerSecond * factor;
    if (isFull || !this.allowance.take(perSecond, now)) {
      return false;
    }
    const loadMs =
      profile.models.find(({name}) => name === order.model)?.loadMs ?? 0;
    this.loadsUntil.set(order.incarnation, now + loadMs);
    return true;
  }

  /** What an engine answered counts before its next registration; one that leaves sends none. */
  private recordEffect(order: Order, outcome: keyof typeof RETRY_MS): void {
    const {registry, clock} = this.options;
    const {incarnation, kind, group} = order;
    const told = registry.find(incarnation)?.registration.group;
    const isSame = told?.name === group?.name && told?.epoch === group?.epoch;
    if (outcome !== 'holds' || !told || !isSame) {
      return;
    }
    if (kind === 'leave') {
      registry.recordGroup(incarnation, undefined, clock.now());
    } else if (kind === 'close') {
      const closed = {...told, state: 'ready' as const};
      registry.recordGroup(incarnation, closed, clock.now());
    }
  }

  private async sendOrder(order: Order): Promise<keyof typeof RETRY_MS> {
    const {duties, runtime, events} = this.options;
    const {incarnation, address, kind, group, model, reason} = order;
    const outcome = await (duties.orders?.send({
      incarnation,
      address,
      fence: runtime.raft.term,
      order: {
        kind,
        group: group && {name: group.name, epoch: group.epoch},
        model: kind === 'join' || kind === 'stage' ? model : undefined,
        members: kind === 'join' && group ? listMembers(group) : undefined,
      },
    }) ?? 'unanswered');
    events.record({
      type: `engine-order-${outcome}`,
      subject: 'host',
      id: incarnation,
      reason,
      details: {
        order: kind,
        group: group?.name ?? '',
        epoch: group?.epoch ?? 0,
        model: model ?? '',
        fence: runtime.raft.term,
      },
    });
    return outcome;
  }
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

function listMembers(group: Pick<EngineGroup, 'members'>): string[] {
  return group.members.map(member => member.incarnation);
}
