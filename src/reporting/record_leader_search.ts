import {ThrottledEventLog} from '../common/throttled_event_log';
import {ControlClient} from '../protocol/control_client';

type LeaderSearch = Parameters<
  NonNullable<Parameters<typeof ControlClient.create>[0]['onSearched']>
>[0];

/**
 * Records a call to control that had to search for the leader, or that found none:
 * which addresses were tried last, how long each took, and with what outcome.
 *
 * @param lines limits the number of recorded events
 * @param id the process that made the call
 * @example
 * const client = ControlClient.create({addresses, identity, onSearched: search => recordLeaderSearch(lines, 'gateway-1', search)});
 */
export function recordLeaderSearch(
  lines: ThrottledEventLog,
  id: string,
  {ask, tookMs, isAnswered, tries}: LeaderSearch,
): void {
  lines.record(`${ask} ${isAnswered}`, {
    type: isAnswered ? 'leader-found' : 'leader-not-found',
    subject: 'control',
    id,
    reason: isAnswered
      ? 'found the control leader after a search'
      : 'no control process answered as the leader before the timeout',
    details: {
      ask,
      tookMs,
      tries: tries
        .map(({address, outcome, tookMs}) => `${address} ${outcome} ${tookMs}`)
        .join(', '),
    },
  });
}
