/** Gives the plan's orders to engines: one at a time to each, loads within the pool's limits. */
import {Clock} from '../common/clock';
import {EventRing} from '../common/event_ring';
import {EngineAction} from '../coordination/groups/engine_action';
import {EngineClient} from '../protocol/engine_client';
import {EngineProfile} from '../protocol/engine_profile';
import {listMemberIncarnations} from '../protocol/list_member_incarnations';
import {BackendRegistry} from './backend_registry';
import {ControlSettings} from './control_settings';
import {GatewayDesk} from './gateway_desk';
import {LoadAllowance} from './load_allowance';
import {RaftRuntime} from './raft_runtime';

/** An order that was taken shows in a registration; longer silence asks again. */
const RETRY_MS = {
  begun: 3_000,
  holds: 1_000,
  // An engine tells its count of orders some 200 ms late, and expects the right one.
  unfit: 200,
  // Should the first one be carried out late, it expects an older count and loses.
  unanswered: 100,
  fenced: 30_000,
};
/** A closing engine that leaves says nothing when it is done, so it is asked. */
const CLOSE_CHECK_MS = 250;
/** Loads slow each other down; longer than this one has been lost. */
const SLOW_LOAD = 2;
/** Margin below the pool's limit on loads, for those of a leader before. */
const SERVING_LOAD_FACTOR = 0.9;
/** Part of the loads that run at full speed which second copies may take: hosts without any weights come first. */
const SECOND_COPY_SHARE = 0.5;
/** Before the first request many hosts load at once, each the slower for it. */
const EARLY_LOAD_FACTOR = 3;

type Answer = Awaited<ReturnType<EngineClient['send']>>;
type Outcome = Answer['outcome'];
type Order = Extract<EngineAction, {type: 'order'}>;

/** An order that was given. */
interface LastOrder {
  readonly key: string;
  /** When the same order may be given again. */
  againAt: number;
  /** No answer came yet. */
  isPending: boolean;
}

/** A load of weights that was ordered. */
interface Load {
  readonly model: string;
  readonly endsAt: number;
  /** The host has another model already. */
  readonly isSecondCopy: boolean;
}

/** What orders are given with. */
interface OrderDispatcherOptions {
  readonly duties: NonNullable<ControlSettings['pools']>;
  readonly runtime: RaftRuntime;
  readonly registry: BackendRegistry;
  readonly desk: Pick<GatewayDesk, 'hasServed'>;
  readonly clock: Clock;
  readonly events: EventRing;
}

/** Remembers the newest order to each engine. */
export class OrderDispatcher {
  /** The newest order about groups, and the newest about copies, to each engine. */
  private readonly lastOrders = {
    group: new Map<string, LastOrder>(),
    copy: new Map<string, LastOrder>(),
  };
  /** The loads that were ordered, and when each should be done, by incarnation. */
  private readonly loads = new Map<string, Load>();
  /** Orders that each engine took, by what its answers said. */
  private readonly ordersTaken = new Map<string, number>();
  private readonly allowance: LoadAllowance;
  private wasServing = false;

  private constructor(private readonly options: OrderDispatcherOptions) {
    this.allowance = LoadAllowance.create(0, options.clock.now());
  }

  /**
   * Creates a dispatcher that has given no order.
   *
   * @example
   * const orders = OrderDispatcher.create({duties, runtime, registry, desk, clock, events});
   * orders.give(action, pool.engine, clock.now());
   */
  static create(options: OrderDispatcherOptions): OrderDispatcher {
    return new OrderDispatcher(options);
  }

  /** Forgets every order: another process led meanwhile, and may have begun loads. */
  clear(): void {
    this.lastOrders.group.clear();
    this.lastOrders.copy.clear();
    this.ordersTaken.clear();
    this.loads.clear();
    this.allowance.clear(this.options.clock.now());
  }

  /** Forgets engines that are gone; incarnations are never used again. */
  retain(incarnations: ReadonlySet<string>): void {
    const {group, copy} = this.lastOrders;
    for (const known of [group, copy, this.loads, this.ordersTaken]) {
      for (const incarnation of known.keys()) {
        if (!incarnations.has(incarnation)) {
          known.delete(incarnation);
        }
      }
    }
  }

  /** The model that an engine was told to load lately. */
  findLoading(incarnation: string): string | undefined {
    return this.loads.get(incarnation)?.model;
  }

  /** Gives an order, unless the same one still waits for its effect. */
  give(order: Order, profile: EngineProfile, now: number): void {
    const {incarnation, kind, group, isParking} = order;
    const key = isParking ? 'park' : `${kind} ${group?.epoch ?? ''}`;
    const {group: groupOrders, copy: copyOrders} = this.lastOrders;
    const lastOrders = kind === 'stage' ? copyOrders : groupOrders;
    const last = lastOrders.get(incarnation);
    const isAnswerDue = [groupOrders, copyOrders].some(
      orders => orders.get(incarnation)?.isPending,
    );
    // The same order waits for its effect; another one only for the answer.
    if (isAnswerDue || (last?.key === key && now < last.againAt)) {
      return;
    }
    if (order.isLoad && !this.takeLoad(order, profile, now)) {
      return;
    }
    const entry = {key, againAt: Infinity, isPending: true};
    lastOrders.set(incarnation, entry);
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
      this.allowance.clear(now);
      this.loads.clear();
    }
    for (const [incarnation, {endsAt}] of this.loads) {
      if (endsAt < now) {
        this.loads.delete(incarnation);
      }
    }
    const isSecondCopy = order.kind === 'stage';
    const isFull = hasServed && this.isFull(isSecondCopy, profile);
    const factor = hasServed ? SERVING_LOAD_FACTOR : EARLY_LOAD_FACTOR;
    const perSecond = profile.loadsPerSecond * factor;
    if (isFull || !this.allowance.take(perSecond, now)) {
      return false;
    }
    const loadMs =
      profile.models.find(({name}) => name === order.model)?.loadMs ?? 0;
    const {incarnation, model = ''} = order;
    this.loads.set(incarnation, {model, endsAt: now + loadMs, isSecondCopy});
    return true;
  }

  /** Loads side by side slow each other down; second copies hold up no others. */
  private isFull(
    isSecondCopy: boolean,
    {concurrentLoads}: EngineProfile,
  ): boolean {
    const loads = [...this.loads.values()];
    return isSecondCopy
      ? loads.length >= concurrentLoads * SECOND_COPY_SHARE
      : loads.filter(load => !load.isSecondCopy).length >= concurrentLoads;
  }

  /** What an engine answered counts before its next registration; one that leaves sends none. */
  private recordEffect(order: Order, outcome: Outcome): void {
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

  /** After a refusal what was counted may be wrong: its own report decides again. */
  private recordTaken(incarnation: string, answer: Answer | undefined): void {
    if (answer?.ordersTaken !== undefined) {
      this.ordersTaken.set(incarnation, answer.ordersTaken);
    } else if (answer?.outcome === 'unfit') {
      this.ordersTaken.delete(incarnation);
    }
  }

  private async sendOrder(order: Order): Promise<Outcome> {
    const {duties, runtime, events} = this.options;
    const {incarnation, address, kind, group, model, reason} = order;
    const answer = await duties.orders?.send({
      incarnation,
      address,
      fence: runtime.raft.term,
      ordersTaken: this.ordersTaken.get(incarnation) ?? 0,
      order: {
        kind,
        group: group && {name: group.name, epoch: group.epoch},
        model: kind === 'join' || kind === 'stage' ? model : undefined,
        members:
          kind === 'join' && group ? listMemberIncarnations(group) : undefined,
      },
    });
    const outcome = answer?.outcome ?? 'unanswered';
    this.recordTaken(incarnation, answer);
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
