import {ControlClient} from '../../protocol/control_client';
import {CrashContainment} from './crash_containment';

/**
 * Several rounds of consensus; the client looks for another leader if this one
 * takes longer.
 */
const REPORT_MS = 1_500;
/** A trial that is not granted within this time is requested again. */
const TRIAL_MS = 800;

/**
 * Creates the calls to the control plane about suspected requests.
 *
 * @example
 * const calls = createSuspectCalls('gateway-a', client);
 */
export function createSuspectCalls(
  gatewayId: string,
  client: Pick<ControlClient, 'ask'>,
): Parameters<typeof CrashContainment.create>[0]['calls'] {
  return {
    report: report =>
      client.ask<'ends-ask'>(
        {type: 'ends-ask', gatewayId, ...report},
        REPORT_MS,
      ),
    async askTrial(trial, incarnation) {
      const ask = {type: 'trial-ask' as const, ...trial, incarnation};
      return (await client.ask<'trial-ask'>(ask, TRIAL_MS)).verdict;
    },
  };
}
