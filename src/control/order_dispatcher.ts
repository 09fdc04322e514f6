/** Sends the planner's orders to engines: one at a time to each, loads within the pool's limits. */
import {Clock} from '../common/clock';
import {EventRing} from '../common/event_ring';
import {ServerAddress} from '../common/server_address';
import {EngineAction} from '../coordination/groups/engine_action';
import {EngineClient} from '../protocol/engine_client';
import {EngineProfile} from '../protocol/engine_profile';
import {listMemberIncarnations} from '../protocol/list_member_incarnations';
import {BackendRegistry} from './backend_registry';
import {ControlSettings} from './control_settings';
import {GatewayService} from './gateway_service';
import {TokenBucket} from './token_bucket';
import {RaftRuntime} from './raft_runtime';

/**
 * Time by outcome until the same order is sent again. The effect of an accepted order
 * shows in the engine's registrations; the order is sent again if it doesn't.
 */
const RETRY_MS = {
  begun: 3_000,
  holds: 1_000,
  // The count of orders in an engine's registration is about 200 ms old, and orders with an outdated one are refused.
  unfit: 200,
  // If the first attempt is carried out later, its order count is outdated and the engine refuses it.
  unanswered: 100,
  fenced: 30_000,
};
/** An engine that is leaving doesn't report when it has closed, so it is polled. */
const CLOSE_POLL_MS = 250;
/** Concurrent loads slow each other down; one that exceeds its expected time by this factor is taken for lost. */
const LOAD_TIMEOUT_FACTOR = 2;
/**
 * An unanswered order may be carried out this much later. It is sent again meanwhile, and the
 * engine carries out one of them, so that they share one place of the store.
 */
const UNANSWERED_LOAD_MS = 3_000;
/** Part of the pool's load rate that is used, which leaves room for loads that the previous leader started. */
const SERVING_LOAD_FACTOR = 0.9;
/** Part of the concurrent loads available to second copies: hosts without any weights come first. */
const SECOND_COPY_SHARE = 0.5;
/** Before the first request, many hosts may load at once although each load is slower then. */
const EARLY_LOAD_FACTOR = 3;

type Answer = Awaited<ReturnType<EngineClient['send']>>;
type Outcome = Answer['outcome'];
type Order = Extract<EngineAction, {type: 'order'}>;

/** The last order to an engine. */
interface LastOrder {
  readonly key: string;
  /** When the same order may be sent again. */
  retryAt: number;
  /** Its answer is outstanding. */
  isPending: boolean;
}

/** A load of weights that was ordered. */
interface Load {
  readonly model: string;
  /** When it ends; until the order is answered, when its place is given up. */
  readonly endsAt: number;
  /** The host already has the weights of another model. */
  readonly isSecondCopy: boolean;
  /** The engine answered that it has begun, or has not answered yet. */
  readonly isExpected: boolean;
}

/** Dependencies of the dispatcher. */
interface OrderDispatcherOptions {
  readonly poolSettings: NonNullable<ControlSettings['pools']>;
  readonly runtime: RaftRuntime;
  readonly registry: BackendRegistry;
  readonly gateways: Pick<GatewayService, 'hasServed'>;
  readonly clock: Clock;
  readonly events: EventRing;
}

/** Sends orders, and keeps the last one to each engine until its effect shows. */
export class OrderDispatcher {
  /** The last order about groups and the last about copies of weights, by incarnation. */
  private readonly lastOrders = {
    group: new Map<string, LastOrder>(),
    copy: new Map<string, LastOrder>(),
  };
  /** Loads in progress, by incarnation. */
  private readonly loads = new Map<string, Load>();
  /** Number of orders that each engine has accepted according to its answers, by incarnation. */
  private readonly ordersTaken = new Map<string, number>();
  private readonly loadBucket: TokenBucket;
  private hadServed = false;

  private constructor(private readonly options: OrderDispatcherOptions) {
    this.loadBucket = TokenBucket.create(0, options.clock.now());
  }

  /**
   * Creates a dispatcher without any earlier orders.
   *
   * @example
   * const orders = OrderDispatcher.create({poolSettings, runtime, registry, gateways, clock, events});
   * orders.dispatch(action, pool.engine, clock.now());
   */
  static create(options: OrderDispatcherOptions): OrderDispatcher {
    return new OrderDispatcher(options);
  }

  /** Drops all state, since another process led meanwhile and may have started loads. */
  clear(): void {
    this.lastOrders.group.clear();
    this.lastOrders.copy.clear();
    this.ordersTaken.clear();
    this.loads.clear();
    this.loadBucket.clear(this.options.clock.now());
  }

  /** Drops the state of all other engines; incarnations are never reused. */
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

  /** The model that an engine is loading; undefined if its answer to the order does not say that it has begun. */
  findLoadingModel(incarnation: string): string | undefined {
    const load = this.loads.get(incarnation);
    return load?.isExpected ? load.model : undefined;
  }

  /** Sends an order unless an answer is outstanding or the same order hasn't taken effect yet. */
  dispatch(order: Order, profile: EngineProfile, now: number): void {
    const {incarnation, kind, group, isParking} = order;
    const key = isParking ? 'park' : `${kind} ${group?.epoch ?? ''}`;
    const {group: groupOrders, copy: copyOrders} = this.lastOrders;
    const lastOrders = kind === 'stage' ? copyOrders : groupOrders;
    const last = lastOrders.get(incarnation);
    const isAnswerPending = [groupOrders, copyOrders].some(
      orders => orders.get(incarnation)?.isPending,
    );
    // The same order waits for its effect; a different one only for the outstanding answer.
    if (isAnswerPending || (last?.key === key && now < last.retryAt)) {
      return;
    }
    if (order.isLoad && !this.startLoad(order, profile, now)) {
      return;
    }
    const entry = {key, retryAt: Infinity, isPending: true};
    lastOrders.set(incarnation, entry);
    const loadMs =
      profile.models.find(({name}) => name === order.model)?.loadMs ?? 0;
    void this.sendOrder(order)
      .catch(() => 'unanswered' as const)
      .then(outcome => {
        entry.isPending = false;
        const isLoading = order.isLoad && outcome === 'begun';
        this.recordEffect(order, outcome);
        // An engine that refuses to stage a copy is loading another one.
        const isBusy = kind === 'stage' && outcome === 'unfit';
        if (order.isLoad && !isLoading && !isBusy) {
          this.recordUnconfirmedLoad(incarnation);
        }
        const waitMs =
          isLoading || isBusy
            ? loadMs * LOAD_TIMEOUT_FACTOR
            : RETRY_MS[outcome];
        const isClosing = kind === 'close' && outcome === 'begun';
        entry.retryAt =
          this.options.clock.now() + (isClosing ? CLOSE_POLL_MS : waitMs);
      });
  }

  /** Records a load if the limits allow it now; before the first request of a caller, only the rate is limited. */
  private startLoad(
    order: Order,
    profile: EngineProfile,
    now: number,
  ): boolean {
    const {hasServed} = this.options.gateways;
    if (hasServed !== this.hadServed) {
      this.hadServed = hasServed;
      this.loadBucket.clear(now);
      this.loads.clear();
    }
    for (const [incarnation, {endsAt}] of this.loads) {
      if (endsAt < now) {
        this.loads.delete(incarnation);
      }
    }
    const {incarnation, model = ''} = order;
    const isSecondCopy = order.kind === 'stage';
    const loadMs = profile.models.find(({name}) => name === model)?.loadMs ?? 0;
    const load = {model, endsAt: now + loadMs, isSecondCopy, isExpected: true};
    const ordered = this.loads.get(incarnation);
    if (ordered?.isExpected === false && ordered.model === model) {
      this.loads.set(incarnation, load);
      return true;
    }
    const isFull = hasServed && this.isFull(isSecondCopy, profile);
    const factor = hasServed ? SERVING_LOAD_FACTOR : EARLY_LOAD_FACTOR;
    const perSecond = profile.loadsPerSecond * factor;
    if (isFull || !this.loadBucket.take(perSecond, now)) {
      return false;
    }
    this.loads.set(incarnation, load);
    return true;
  }

  /** Shortens the time for which a load holds its place that the engine has not confirmed. */
  private recordUnconfirmedLoad(incarnation: string): void {
    const load = this.loads.get(incarnation);
    if (load) {
      const endsAt = this.options.clock.now() + UNANSWERED_LOAD_MS;
      this.loads.set(incarnation, {...load, endsAt, isExpected: false});
    }
  }

  /** Limits concurrent loads, which slow each other down; second copies don't count against first ones. */
  private isFull(
    isSecondCopy: boolean,
    {concurrentLoads}: EngineProfile,
  ): boolean {
    const loads = [...this.loads.values()];
    return isSecondCopy
      ? loads.length >= concurrentLoads * SECOND_COPY_SHARE
      : loads.filter(load => !load.isSecondCopy).length >= concurrentLoads;
  }

  /** Applies an answer to the registry ahead of the next registration, since an engine that is leaving sends none. */
  private recordEffect(order: Order, outcome: Outcome): void {
    const {registry, clock} = this.options;
    const {incarnation, kind, group} = order;
    const reported = registry.find(incarnation)?.registration.group;
    const isSame =
      reported?.name === group?.name && reported?.epoch === group?.epoch;
    if (outcome !== 'holds' || !reported || !isSame) {
      return;
    }
    if (kind === 'leave') {
      registry.recordGroup(incarnation, undefined, clock.now());
    } else if (kind === 'close') {
      const closed = {...reported, state: 'ready' as const};
      registry.recordGroup(incarnation, closed, clock.now());
    }
  }

  /** After a refusal the count may be wrong, so the engine's own registrations decide again. */
  private recordOrdersTaken(
    incarnation: string,
    answer: Answer | undefined,
  ): void {
    if (answer?.ordersTaken !== undefined) {
      this.ordersTaken.set(incarnation, answer.ordersTaken);
    } else if (answer?.outcome === 'unfit') {
      this.ordersTaken.delete(incarnation);
    }
  }

  private async sendOrder(order: Order): Promise<Outcome> {
    const {runtime, events} = this.options;
    const {incarnation, kind, group, model, reason} = order;
    const answer = await this.callEngine(order);
    const outcome = answer?.outcome ?? 'unanswered';
    this.recordOrdersTaken(incarnation, answer);
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
        ...(answer?.failure !== undefined && {failure: answer.failure}),
      },
    });
    return outcome;
  }

  /** An engine with a malformed address, from the log of another version, does not answer. */
  private async callEngine({
    incarnation,
    address,
    kind,
    group,
    model,
  }: Order): Promise<Answer | undefined> {
    const {poolSettings, runtime} = this.options;
    let parsed: ServerAddress;
    try {
      parsed = ServerAddress.parse(address);
    } catch (error) {
      return {outcome: 'unanswered', failure: (error as Error).message};
    }
    return poolSettings.orders?.send({
      incarnation,
      address: parsed,
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
  }
}
