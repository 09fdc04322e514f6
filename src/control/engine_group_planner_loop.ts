/** Periodically plans the groups of engines, commits the changes and dispatches the orders while this process leads. */
import {Clock} from '../common/clock';
import {FaultBoundary} from '../common/fault_boundary';
import {EventRing} from '../common/event_ring';
import {BackendView} from '../coordination/groups/backend_view';
import {countByDomain} from '../coordination/groups/count_by_domain';
import {ShareAdjuster} from '../coordination/groups/share_adjuster';
import {EngineAction} from '../coordination/groups/engine_action';
import {EnginePlanInput} from '../coordination/groups/engine_plan_input';
import {planEngineGroups} from '../coordination/groups/plan_engine_groups';
import {createEnginePlanInput} from '../coordination/groups/create_engine_plan_input';
import {computeUrgencyWeights} from '../coordination/groups/compute_urgency_weights';
import {listUrgencies} from '../coordination/groups/list_urgencies';
import {ControlCommand} from '../protocol/control_command';
import {EngineGroup} from '../protocol/engine_group';
import {listMemberIncarnations} from '../protocol/list_member_incarnations';
import {GatewayRules} from '../protocol/gateway_rules';
import {BackendHealth} from './backend_health';
import {BackendRegistry} from './backend_registry';
import {ControlSettings} from './control_settings';
import {GatewayService} from './gateway_service';
import {GroupMoveLog} from './group_move_log';
import {HeadStopDetector} from './head_stop_detector';
import {IdleHostLog} from './idle_host_log';
import {LossMeter} from './loss_meter';
import {ModelShortageLog} from './model_shortage_log';
import {OrderDispatcher} from './order_dispatcher';
import {RaftRuntime} from './raft_runtime';

/** A repair takes about six steps, each of which waits for the next plan. */
const PLAN_EVERY_MS = 40;
/** A new leader collects registrations for this many intervals before it plans. */
const LISTEN_INTERVALS = 1.1;
/** Missed registration intervals after which a backend server gets no part in a new group. */
const SILENT_INTERVALS = 3;
/** After this many registration intervals without a new host, all live ones are known. */
const QUIET_INTERVALS = 0.7;

/** Hosts that were moved serve again within this time; their effect on demand doesn't show earlier. */
const REBALANCE_INTERVAL_MS = 2_500;

type Pool = GatewayRules['pools'][number];

/** Dependencies of the loop. */
interface EngineGroupPlannerLoopOptions {
  /** Called with what failed in a round; the next round follows. */
  readonly onFault: (work: string, error: Error) => void;
  readonly poolSettings: NonNullable<ControlSettings['pools']>;
  readonly runtime: RaftRuntime;
  readonly registry: BackendRegistry;
  readonly gateways: GatewayService;
  readonly clock: Clock;
  readonly events: EventRing;
}

/** Reconciles groups of engines with the rules in force. */
export class EngineGroupPlannerLoop {
  private readonly timer: NodeJS.Timeout;
  private readonly health: BackendHealth;
  private readonly headStops: HeadStopDetector;
  private readonly orders: OrderDispatcher;
  private readonly idleHosts: IdleHostLog;
  private readonly shortages: ModelShortageLog;
  private readonly moves: GroupMoveLog;
  /** When hosts were last moved to another model, which limits how often that happens. */
  private rebalancedAt = -Infinity;
  /** Adjusts the shares of the models to the demand, by pool. */
  private readonly shareAdjusters = new Map<string, ShareAdjuster>();
  /** Losses of members, by pool. */
  private readonly losses = new Map<string, LossMeter>();
  private plannedTerm = -1;
  private isCommitting = false;

  private constructor(private readonly options: EngineGroupPlannerLoopOptions) {
    const {poolSettings, clock, registry, gateways, events} = options;
    this.health = BackendHealth.create({
      poolSettings,
      clock,
      registry,
      gateways,
      events,
    });
    this.headStops = HeadStopDetector.create(registry, poolSettings.stallMs);
    this.orders = OrderDispatcher.create(options);
    this.idleHosts = IdleHostLog.create(events);
    this.shortages = ModelShortageLog.create(events);
    this.moves = GroupMoveLog.create(events);
    const boundary = FaultBoundary.create(fault =>
      options.onFault('planning', fault),
    );
    this.timer = setInterval(() => boundary.watch(this.run()), PLAN_EVERY_MS);
  }

  /**
   * Starts the loop.
   *
   * @example
   * const planner = EngineGroupPlannerLoop.create({poolSettings, runtime, registry, gateways, clock, events});
   */
  static create(
    options: EngineGroupPlannerLoopOptions,
  ): EngineGroupPlannerLoop {
    return new EngineGroupPlannerLoop(options);
  }

  close(): void {
    clearInterval(this.timer);
  }

  private async run(): Promise<void> {
    const {runtime, clock, poolSettings, registry} = this.options;
    const now = clock.now();
    this.headStops.refresh(runtime.state.engines.list(), now);
    const listenMs = poolSettings.heartbeatMs * LISTEN_INTERVALS;
    const isListening = now - runtime.leadingSince < listenMs;
    if (!runtime.canServe() || this.isCommitting || isListening) {
      return;
    }
    if (this.plannedTerm !== runtime.raft.term) {
      this.plannedTerm = runtime.raft.term;
      this.orders.clear();
      this.health.clear();
      this.shareAdjusters.clear();
      this.idleHosts.clear();
      this.shortages.clear();
      this.moves.clear();
      this.losses.clear();
    }
    registry.expire(now);
    const known = registry.list().map(view => view.registration.incarnation);
    this.orders.retain(new Set(known));
    this.isCommitting = true;
    try {
      for (const pool of runtime.state.channel.rules?.pools ?? []) {
        // One pool that cannot be planned must not keep the others from it.
        await this.planPool(pool, now).catch((error: Error) =>
          this.options.onFault(`planning of pool ${pool.name}`, error),
        );
      }
    } finally {
      this.isCommitting = false;
    }
  }

  private async planPool(pool: Pool, now: number): Promise<void> {
    const {runtime, registry, poolSettings, gateways} = this.options;
    const {engines, evacuations} = runtime.state;
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
    this.recordLoadedModels(groups);
    this.health.refresh(groups, now);
    const domains = countByDomain(this.listHealthy(backends));
    const losses = this.losses.get(pool.name) ?? LossMeter.create();
    this.losses.set(pool.name, losses);
    losses.advance(groups.flatMap(({members}) => members).length, now);
    const input = {
      pool: pool.name,
      profile: pool.engine,
      groups,
      backends,
      isColdStart: groups.length === 0 && backends.every(hasNoWeights),
      now,
      silentAfterMs: poolSettings.heartbeatMs * SILENT_INTERVALS,
      isInGracePeriod:
        now - runtime.leadingSince <
        poolSettings.heartbeatMs * SILENT_INTERVALS,
      isRetired: (incarnation: string) => engines.isRetired(incarnation),
      isEvacuated: (zone: string) => evacuations.has(zone),
      estimateLifetimeMs: (size: number) => losses.estimateLifetimeMs(size),
      mayRebalance: now - this.rebalancedAt > REBALANCE_INTERVAL_MS,
      epoch: runtime.raft.commitIndex,
      findLoadingModel: (incarnation: string) =>
        this.orders.findLoadingModel(incarnation),
      isSaturated: (model: string) => gateways.isSaturated(model),
      isLost: (incarnation: string) => this.health.isLost(incarnation),
      isHeadStopped: (group: EngineGroup) =>
        this.headStops.isHeadStopped(group, now),
      hasDepartedMember: (group: EngineGroup) =>
        this.headStops.hasDepartedMember(group),
    };
    const planInput = this.applyDemand(input, domains);
    this.idleHosts.record(planInput);
    this.shortages.record(planInput);
    const actions = planEngineGroups(planInput);
    this.moves.record(actions, planInput);
    if (actions.some(action => 'isMove' in action && action.isMove)) {
      this.rebalancedAt = now;
    }
    actions
      .filter(action => action.type === 'end-group' && !action.isMove)
      .forEach(() => losses.recordLoss());
    await this.commitChanges(actions);
    for (const action of actions) {
      if (action.type === 'order') {
        this.orders.dispatch(action, pool.engine, now);
      }
    }
  }

  /** Completes the input of a plan with model shares adjusted to the demand. */
  private applyDemand(
    configured: Omit<EnginePlanInput, 'desiredGroups'>,
    domains: readonly number[],
  ): EnginePlanInput {
    const {gateways, events} = this.options;
    const {pool} = configured;
    const adjuster = this.shareAdjusters.get(pool) ?? ShareAdjuster.create();
    this.shareAdjusters.set(pool, adjuster);
    const demand = gateways.computeDemand();
    const weights = this.computeWeights(configured);
    const {input, shifted} = createEnginePlanInput({
      adjuster,
      input: configured,
      domains,
      demand,
      weights,
    });
    if (shifted) {
      const {from, to, missed} = shifted;
      events.record({
        type: 'hosts-shifted',
        subject: 'group',
        id: pool,
        reason: `${to} misses more objectives for lack of hosts than a move of hosts from ${from} would cost`,
        details: {
          missed: Math.round(missed),
          ...Object.fromEntries(
            Object.entries(demand).map(([model, {requestsPerSecond}]) => [
              `${model} per second`,
              Math.round(requestsPerSecond),
            ]),
          ),
          ...Object.fromEntries(input.desiredGroups),
          ...describeNeeds(input),
          domains: domains.join(' '),
          ...describeReports(gateways.listReports(), configured.now),
        },
      });
    }
    return input;
  }

  /** Computes the weight of a request of each model by urgency; undefined where all are equally urgent. */
  private computeWeights({
    pool,
    profile,
  }: Omit<EnginePlanInput, 'desiredGroups'>) {
    const {runtime, gateways} = this.options;
    const {rules} = runtime.state.channel;
    return computeUrgencyWeights({
      pool,
      models: profile.models.map(({name}) => name),
      urgencies: rules ? listUrgencies(rules, pool) : [],
      gateways: gateways.listReports(),
    });
  }

  /** The first groups are planned only once no more hosts appear, so that each host has its part. */
  private isSettled(backends: readonly BackendView[], now: number): boolean {
    const last = Math.max(...backends.map(view => view.firstSeenAt));
    return now - last > this.options.poolSettings.heartbeatMs * QUIET_INTERVALS;
  }

  /** Members of an ending group still have the weights of its model in memory. */
  private recordLoadedModels(groups: readonly EngineGroup[]): void {
    const {registry} = this.options;
    for (const {members, model} of groups.filter(group => group.isEnding)) {
      members.forEach(({incarnation}) =>
        registry.recordLoadedModel(incarnation, model),
      );
    }
  }

  /** Engines that count for the split among models: those of evacuated zones are absent. */
  private listHealthy(backends: readonly BackendView[]): BackendView[] {
    const {engines, evacuations} = this.options.runtime.state;
    return backends.filter(
      ({registration: {incarnation, zone}}) =>
        !engines.isRetired(incarnation) &&
        !evacuations.has(zone) &&
        !this.health.isLost(incarnation),
    );
  }

  private async commitChanges(actions: readonly EngineAction[]): Promise<void> {
    const {runtime, events} = this.options;
    const time = Date.now();
    const commands = actions.flatMap(action => createCommand(action, time));
    for (const command of commands) {
      const isSet = command.type === 'set-engine-group';
      const id = isSet ? command.group.name : command.name;
      const details: Record<string, string | number> = isSet
        ? {
            members: listMemberIncarnations(command.group).join(' '),
            domain: command.group.domain,
          }
        : {epoch: command.epoch};
      const {type, reason} = command;
      events.record({type, subject: 'group', id, reason, details});
    }
    const proposals = commands.map(command => runtime.propose(command));
    // The next plan retries a failed change; losing leadership is recorded elsewhere.
    await Promise.all(proposals).catch(() => undefined);
  }
}

/** Describes each model's weight by urgency and the groups that its measured demand needs. */
function describeNeeds({needs}: EnginePlanInput): Record<string, number> {
  return Object.fromEntries(
    [...(needs ?? [])].flatMap(([model, {weight, sufficientGroups}]) => [
      [`${model} weight`, Math.round(weight * 100) / 100],
      [`${model} needs`, sufficientGroups],
    ]),
  );
}

/** Describes how many gateways the demand comes from, and the age of their oldest report. */
function describeReports(
  reports: ReadonlyArray<{readonly seenAt: number}>,
  now: number,
): Record<string, number> {
  const ages = reports.map(({seenAt}) => Math.round(now - seenAt));
  return {gateways: reports.length, 'oldest report ms': Math.max(0, ...ages)};
}

function hasNoWeights({registration, loadedModel}: BackendView): boolean {
  return loadedModel === undefined && registration.stagedModels.length === 0;
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

const COMMAND_TYPES = {
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
    // The epoch is the log index, assigned on commit.
    const group = {...action.group, epoch: 0};
    return [{type: 'set-engine-group', time, group, reason}];
  }
  const {name, epoch} = action;
  return [{type: COMMAND_TYPES[action.type], time, name, epoch, reason}];
}
