/** Evacuates and restores availability zones by order of an operator, on the leader. */
import {Clock} from '../common/clock';
import {EventRing} from '../common/event_ring';
import {ControlMessage} from '../protocol/control_message';
import {encodeEvacuationOrder} from '../protocol/encode_evacuation_order';
import {MessageOf} from '../protocol/message_of';
import {CommandResult} from '../state/command_result';
import {BackendRegistry} from './backend_registry';
import {checkDurability} from './check_durability';
import {checkOrder} from './check_order';
import {ControlError} from './control_error';
import {ControlSettings} from './control_settings';
import {RaftRuntime} from './raft_runtime';

/**
 * A new leader has received a registration of every live backend server after this time;
 * before, a zone without registrations may still have backend servers.
 */
const REGISTRY_COMPLETE_AFTER_MS = 15_000;

type Order = MessageOf<ControlMessage, 'evacuation-ask'>;

/** The last order for a zone that was proposed to the replicated log and is not committed yet. */
interface PendingOrder {
  readonly isEvacuated: boolean;
  readonly committed: Promise<CommandResult>;
}

/** Dependencies of the service. */
interface EvacuationServiceOptions {
  readonly settings: Pick<
    ControlSettings,
    'seeded' | 'trustedChannels' | 'trustedKeys' | 'listZones'
  >;
  readonly runtime: RaftRuntime;
  readonly registry: Pick<BackendRegistry, 'listZones'>;
  readonly clock: Clock;
  readonly events: EventRing;
  /** Called when a zone was restored; its backend servers may have turned cold meanwhile. */
  readonly onRestored?: (zone: string) => void;
}

/** Commits the orders of operators; its caller checks that this process leads. */
export class EvacuationService {
  private readonly pendingOrders = new Map<string, PendingOrder>();

  private constructor(private readonly options: EvacuationServiceOptions) {}

  /**
   * Creates a service without pending orders.
   *
   * @example
   * const service = EvacuationService.create({settings, runtime, registry, clock, events});
   */
  static create(options: EvacuationServiceOptions): EvacuationService {
    return new EvacuationService(options);
  }

  readonly handlers = {
    'evacuation-ask': (order: Order) => this.handleOrder(order),
  };

  private async handleOrder(order: Order): Promise<ControlMessage> {
    const {clock} = this.options;
    const startedAt = clock.now();
    const problem = this.findSignatureError(order);
    if (problem !== undefined) {
      return this.answerRefusal(order, problem, false);
    }
    if (!this.isKnownZone(order.zone)) {
      return this.answerRefusal(order, `no zone ${order.zone} is known`, true);
    }
    const {evacuations} = this.options.runtime.state;
    const before = evacuations.version;
    const {isAccepted, reason} = await this.commitOnce(order);
    const isChanged = evacuations.version !== before;
    if (isChanged && !order.isEvacuated) {
      this.options.onRestored?.(order.zone);
    }
    const changed = order.isEvacuated ? 'zone-evacuated' : 'zone-restored';
    this.recordOrder(
      order,
      isChanged ? changed : 'evacuation-unchanged',
      reason,
      clock.now() - startedAt,
    );
    return {
      type: 'evacuation-answer',
      call: order.call,
      isAccepted,
      isUnknownZone: false,
      reason,
    };
  }

  /**
   * Returns what is wrong with a signed order; undefined for a valid one.
   *
   * @throws ControlError when the order came in on a channel that is not trusted
   */
  private findSignatureError(order: Order): string | undefined {
    const {trustedChannels, trustedKeys} = this.options.settings;
    const {channel, zone, isEvacuated, keyId, time, signature} = order;
    if (channel !== undefined) {
      if (!trustedChannels?.includes(channel)) {
        throw new ControlError('the channel %s is not trusted', channel);
      }
      return undefined;
    }
    if (keyId === undefined || time === undefined || signature === undefined) {
      return 'the order is not signed';
    }
    try {
      const text = encodeEvacuationOrder(zone, isEvacuated, time);
      checkOrder({keyId, time, signature}, text, trustedKeys);
      return undefined;
    } catch (error) {
      return (error as Error).message;
    }
  }

  /**
   * False only for a zone that certainly does not exist, since operators don't repeat
   * an order that is refused for this reason.
   *
   * @throws ControlError when that cannot be decided yet
   */
  private isKnownZone(zone: string): boolean {
    const {settings, runtime, registry, clock} = this.options;
    const configured = settings.listZones?.() ?? [];
    const registered = registry.listZones();
    const isKnown =
      configured.includes(zone) ||
      registered.includes(zone) ||
      runtime.state.evacuations.has(zone);
    if (isKnown || configured.length > 0) {
      return isKnown;
    }
    const leadingMs = clock.now() - runtime.leadingSince;
    if (registered.length === 0 || leadingMs < REGISTRY_COMPLETE_AFTER_MS) {
      throw new ControlError(
        'whether there is a zone %s is not known yet: no zones are configured, and this leader may not have heard from all backend servers',
        zone,
      );
    }
    return false;
  }

  /**
   * Commits an order unless it is in force or on its way. Equal orders that arrive at the
   * same time share one entry of the replicated log. An order that contradicts a pending one
   * is always appended to the log: acknowledged by the present state, it would be revoked by
   * the earlier order when that is committed.
   */
  private async commitOnce(order: Order): Promise<CommandResult> {
    const {runtime} = this.options;
    const {zone, isEvacuated} = order;
    const pending = this.pendingOrders.get(zone);
    if (pending?.isEvacuated === isEvacuated) {
      return pending.committed;
    }
    if (!pending && runtime.state.evacuations.has(zone) === isEvacuated) {
      const reason = `${zone} is ${isEvacuated ? 'already' : 'not'} evacuated`;
      return {isAccepted: true, reason};
    }
    checkDurability(this.options);
    const committed = runtime.propose({
      type: 'set-evacuation',
      time: Date.now(),
      zone,
      isEvacuated,
      requestedBy: order.channel ?? order.keyId ?? '',
    });
    const proposal = {isEvacuated, committed};
    this.pendingOrders.set(zone, proposal);
    try {
      return await committed;
    } finally {
      if (this.pendingOrders.get(zone) === proposal) {
        this.pendingOrders.delete(zone);
      }
    }
  }

  private answerRefusal(
    order: Order,
    reason: string,
    isUnknownZone: boolean,
  ): ControlMessage {
    const {call} = order;
    this.recordOrder(order, 'evacuation-refused', reason, 0);
    const answer = {type: 'evacuation-answer' as const, call, reason};
    return {...answer, isAccepted: false, isUnknownZone};
  }

  private recordOrder(
    {zone, isEvacuated, channel, keyId}: Order,
    type: string,
    reason: string,
    tookMs: number,
  ): void {
    this.options.events.record({
      type,
      subject: 'zone',
      id: zone,
      reason,
      details: {
        order: isEvacuated ? 'evacuate' : 'restore',
        requestedBy: channel ?? keyId ?? '',
        version: this.options.runtime.state.evacuations.version,
        tookMs: Math.round(tookMs),
      },
    });
  }
}
