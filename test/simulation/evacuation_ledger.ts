/** Evacuations that were acknowledged on a simulated day, which nobody who answers may have lost. */
import {GatewayService} from '../../src/control/gateway_service';
import {RaftRuntime} from '../../src/control/raft_runtime';
import {createRandom} from '../support/create_random';
import {createBundle} from './create_bundle';
import {EVACUATED_ZONES} from './day_limits';

interface ZoneOrders {
  /** By the newest acknowledged order. */
  isEvacuated: boolean;
  /** Orders sent after that one, oldest first; each may be in force, as its acknowledgement may be lost. */
  later: Array<{readonly isEvacuated: boolean}>;
}

/** Sends orders to evacuate and restore zones, drawn apart from everything else of the day. */
export class EvacuationLedger {
  acknowledged = 0;
  private readonly random: () => number;
  private readonly zones = new Map<string, ZoneOrders>(
    EVACUATED_ZONES.map(zone => [zone, {isEvacuated: false, later: []}]),
  );

  private constructor(seed: number) {
    this.random = createRandom(seed + 2_000_003);
  }

  static create(seed: number): EvacuationLedger {
    return new EvacuationLedger(seed);
  }

  /** @param isAnswered told once it is committed: whether the operator gets the acknowledgement */
  order(desk: GatewayService, isAnswered: () => boolean): void {
    const at = Math.floor(this.random() * EVACUATED_ZONES.length);
    const zone = EVACUATED_ZONES[at];
    const isEvacuated = this.random() < 0.5;
    const orders = this.zones.get(zone);
    if (!orders) {
      return;
    }
    const order = {isEvacuated};
    orders.later.push(order);
    const {channel} = createBundle(1);
    const ask = {type: 'evacuation-ask' as const, call: 1, zone, isEvacuated};
    desk.handlers['evacuation-ask']({...ask, channel})
      .then(answer => {
        const isAccepted = 'isAccepted' in answer && answer.isAccepted;
        if (isAccepted && isAnswered()) {
          this.acknowledged += 1;
          const place = orders.later.indexOf(order);
          // After the acknowledgement of a newer order nothing changes.
          if (place >= 0) {
            orders.isEvacuated = isEvacuated;
            orders.later = orders.later.slice(place + 1);
          }
        }
      })
      .catch(() => undefined);
  }

  /** A zone whose state a process should know, and does not. */
  findLost({state}: RaftRuntime): string | undefined {
    return EVACUATED_ZONES.find(zone => {
      const orders = this.zones.get(zone);
      const isEvacuated = state.evacuations.has(zone);
      return (
        orders !== undefined &&
        ![orders, ...orders.later].some(
          order => order.isEvacuated === isEvacuated,
        )
      );
    });
  }
}
