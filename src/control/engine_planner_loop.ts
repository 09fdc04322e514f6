/** Lets the leader plan the groups of engines again and again, and gives its orders. */
import {Clock} from '../common/clock';
import {EventRing} from '../common/event_ring';
import {EngineAction} from '../coordination/engine_action';
import {planEngineGroups} from '../coordination/plan_engine_groups';
import {GatewayRules} from '../protocol/gateway_rules';
import {BackendHealth} from './backend_health';
import {BackendRegistry} from './backend_registry';
import {ControlSettings} from './control_settings';
import {GatewayDesk} from './gateway_desk';
import {LoadAllowance} from './load_allowance';
import {RaftRuntime} from './raft_runtime';

const PLAN_EVERY_MS = 100;
/** A new leader first listens for this many registration intervals. */
const LISTEN_INTERVALS = 2;
/** An order that was taken shows in a registration; longer silence asks again. */
const RETRY_MS = {
  begun: 3_000,
  holds: 1_000,
  unfit: 700,
  unanswered: 1_500,
  fenced: 30_000,
};

type Pool = GatewayRules['pools'][number];
type Order = Extract<EngineAction, {type: 'order'}>;

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
  private readonly allowance: LoadAllowance;
  private readonly peaks = new Map<string, number>();
  /** When the next order to an engine may leave, by incarnation. */
  private readonly nextOrderAt = new Map<string, number>();
  private plannedTerm = -1;
  private isCommitting = false;

  private constructor(private readonly options: EnginePlannerOptions) {
    const {duties, clock, registry, desk} = options;
    this.health = BackendHealth.create({duties, clock, registry, desk});
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
    const listenMs = duties.heartbeatMs * LISTEN_INTERVALS;
    const isListening = now - runtime.leadingSince < listenMs;
    if (!runtime.canAnswer() || this.isCommitting || isListening) {
      return;
    }
    if (this.plannedTerm !== runtime.raft.term) {
      this.plannedTerm = runtime.raft.term;
      this.nextOrderAt.clear();
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
    const {runtime, registry, duties} = this.options;
    const {engines} = runtime.state;
    if (!pool.engine) {
      return;
    }
    const groups = engines.list().filter(group => group.pool === pool.name);
    this.recordPeaks(groups.map(group => group.model));
    const backends = registry
      .list()
      .filter(({registration}) => registration.pool === pool.name);
    this.health.refresh(groups, now);
    const actions = planEngineGroups({
      pool: pool.name,
      profile: pool.engine,
      groups,
      backends,
      peaks: this.peaks,
      now,
      silentAfterMs: duties.heartbeatMs * 3,
      isRetired: incarnation => engines.isRetired(incarnation),
      isLost: incarnation => this.health.isLost(incarnation),
      isGone: incarnation => this.health.isGone(incarnation, now),
    });
    await this.commitChanges(actions);
    for (const action of actions) {
      if (action.type === 'order') {
        this.giveOrder(action, pool.engine.loadsPerSecond, now);
      }
    }
  }

  private recordPeaks(models: readonly string[]): void {
    for (const model of new Set(models)) {
      const count = models.filter(other => other === model).length;
      this.peaks.set(model, Math.max(count, this.peaks.get(model) ?? 0));
    }
  }

  private async commitChanges(actions: readonly EngineAction[]): Promise<void> {
    const {runtime} = this.options;
    const time = Date.now();
    const proposals = actions.flatMap(action => {
      if (action.type === 'set-group') {
        const group = {...action.group, epoch: 0};
        const {reason} = action;
        return [
          runtime.propose({type: 'set-engine-group', time, group, reason}),
        ];
      }
      if (action.type === 'remove-group') {
        const {name, epoch, reason} = action;
        return [
          runtime.propose({
            type: 'remove-engine-group',
            time,
            name,
            epoch,
            reason,
          }),
        ];
      }
      return [];
    });
    // A change that fails is planned again; the loss of the lead is recorded elsewhere.
    await Promise.all(proposals).catch(() => undefined);
  }

  private giveOrder(order: Order, loadsPerSecond: number, now: number): void {
    const {incarnation} = order;
    if (now < (this.nextOrderAt.get(incarnation) ?? 0)) {
      return;
    }
    if (order.isLoad && !this.allowance.take(loadsPerSecond, now)) {
      return;
    }
    // Held until the outcome is known.
    this.nextOrderAt.set(incarnation, Infinity);
    void this.sendOrder(order).catch(() => undefined);
  }

  private async sendOrder(order: Order): Promise<void> {
    const {duties, runtime, clock, events} = this.options;
    const {incarnation, address, kind, group, model, reason} = order;
    const outcome = await (duties.orders?.send({
      incarnation,
      address,
      fence: runtime.raft.term,
      order: {
        kind,
        group: group && {name: group.name, epoch: group.epoch},
        model: kind === 'join' || kind === 'stage' ? model : undefined,
        members: kind === 'join' ? group?.members : undefined,
      },
    }) ?? 'unanswered');
    this.nextOrderAt.set(incarnation, clock.now() + RETRY_MS[outcome]);
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
  }
}
