import {EventRing} from '../../common/event_ring';
import {LeaseClock} from '../../common/lease_clock';
import {systemClock} from '../../common/system_clock';
import {permitTiming} from '../../coordination/limits/permit_timing';
import {ControlClient} from '../../protocol/control_client';
import {BackendSignals} from './backend_signals';

/** The gateway that receives the signals. */
interface SignalSource {
  readonly gatewayId: string;
  readonly client: Pick<ControlClient, 'ask'>;
  readonly events: EventRing;
  /** Called when the control plane should be notified of a change at once. */
  readonly reportNow: () => void;
}

/**
 * Creates the signals of a gateway that requests permits from the control
 * plane. A request for a permit is abandoned after the time within which the
 * permit could be used.
 *
 * @example
 * const signals = createBackendSignals({gatewayId, client, events, reportNow});
 */
export function createBackendSignals({
  gatewayId,
  client,
  events,
  reportNow,
}: SignalSource): BackendSignals {
  const wall = () => Date.now();
  return BackendSignals.create({
    clock: systemClock,
    leaseClock: LeaseClock.create({monotonic: systemClock, wall}),
    events,
    random: Math.random,
    reportNow,
    reportLeaving(incarnations) {
      const ask = {type: 'leaving-ask' as const, gatewayId, incarnations};
      return client.ask<'leaving-ask'>(ask);
    },
    async askPermit(request) {
      const ask = {type: 'permit-ask' as const, gatewayId, ...request};
      const {useWithinMs} = permitTiming[request.cold ? 'cold' : 'announced'];
      return (await client.ask<'permit-ask'>(ask, useWithinMs)).verdict;
    },
  });
}
