/** Gives the plan's orders to engines: one at a time to each, loads within the pool's limits. */
import {Clock} from '../common/clock';
import {EventRing} from '../common/event_ring';
import {EngineAction} from '../coordination/engine_action';
import {EngineProfile} from '../protocol/engine_profile';
import {listMemberNames} from '../protocol/list_member_names';
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
  unanswered: 1_500,
  fenced: 30_000,
};
/** A closing engine that leaves says nothing when it is done, so it is asked. */
const CLOSE_CHECK_MS = 250;
/** Loads slow each other down; longer than this one has been lost. */
const SLOW_LOAD = 2;
/** Margin below the pool's limit on loads, for those of a leader before. */
const SERVING_LOAD_FACTOR = 0.9;
/** Before the first request many hosts load at once, each the slower for it. */
const EARLY_LOAD_FACTOR = 3;

type Order = Extract<EngineAction, {type: 'order'}>;

/** An order that was given. */
interface LastOrder {
  readonly key: string;
  /** When the same order may be given again. */
  againAt: number;
  /** No answer came yet. */
  isPending: boolean;
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
  /** The newest order to each engine, by incarnation. */
  private readonly lastOrders = new Map<string, LastOrder>();
  /** The loads that were ordered, and when each should be done, by incarnation. */
  private readonly loads = new Map<string, {model: string; endsAt: number}>();
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
    this.lastOrders.clear();
    this.loads.clear();
    this.allowance.clear(this.options.clock.now());
  }

  /** The model that an engine was told to load lately. */
  findLoading(incarnation: string): string | undefined {
    return this.loads.get(incarnation)?.model;
  }

  /** Gives an order, unless the same one still waits for its effect. */
  give(order: Order, profile: EngineProfile, now: number): void {
    const {incarnation, kind, group, isParking} = order;
    const key = isParking ? 'park' : `${kind} ${group?.epoch ?? ''}`;
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
      this.allowance.clear(now);
      this.loads.clear();
    }
    for (const [incarnation, {endsAt}] of this.loads) {
      if (endsAt < now) {
        this.loads.delete(incarnation);
      }
    }
    const isFull = hasServed && this.loads.size >= profile.concurrentLoads;
    const factor = hasServed ? SERVING_LOAD_FACTOR : EARLY_LOAD_FACTOR;
    const perSecond = profile.loadsPerSecond * factor;
    if (isFull || !this.allowance.take(perSecond, now)) {
      return false;
    }
    const loadMs =
      profile.models.find(({name}) => name === order.model)?.loadMs ?? 0;
    const {incarnation, model = ''} = order;
    this.loads.set(incarnation, {model, endsAt: now + loadMs});
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
        members: kind === 'join' && group ? listMemberNames(group) : undefined,
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
