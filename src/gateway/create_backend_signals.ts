import {EventRing} from '../common/event_ring';
import {LeaseClock} from '../common/lease_clock';
import {systemClock} from '../common/system_clock';
import {permitTiming} from '../coordination/limits/permit_timing';
import {ControlClient} from '../protocol/control_client';
import {BackendSignals} from './backend_signals';

/** Whose signals they are. */
interface SignalSource {
  readonly gatewayId: string;
  readonly client: Pick<ControlClient, 'ask'>;
  readonly events: EventRing;
  /** Control should hear at once what is new. */
  readonly onNews: () => void;
}

/**
 * Creates the signals of a gateway that asks control for permits. An answer that
 * comes later than a permit could be used is not waited for.
 *
 * @example
 * const signals = createBackendSignals({gatewayId, client, events, onNews});
 */
export function createBackendSignals({
  gatewayId,
  client,
  events,
  onNews,
}: SignalSource): BackendSignals {
  const wall = () => Date.now();
  return BackendSignals.create({
    clock: systemClock,
    leaseClock: LeaseClock.create({monotonic: systemClock, wall}),
    events,
    random: Math.random,
    onNews,
    reportLeaving(incarnations) {
      const ask = {type: 'leaving-ask' as const, gatewayId, incarnations};
      return client.ask<'leaving-ask'>(ask);
    },
    async askPermit(limit) {
      const ask = {type: 'permit-ask' as const, gatewayId, limit};
      const {useWithinMs} = permitTiming;
      return (await client.ask<'permit-ask'>(ask, useWithinMs)).verdict;
    },
  });
}
