import {ThrottledLines} from '../common/throttled_lines';
import {ControlClient} from '../protocol/control_client';

type LeaderSearch = Parameters<
  NonNullable<Parameters<typeof ControlClient.create>[0]['onSearched']>
>[0];

/**
 * Writes a line about a call for which the leader had to be searched for, or that
 * found none: who was tried last, how long for, and what each said.
 *
 * @param id the process that asked
 * @example
 * const client = ControlClient.create({addresses, identity, onSearched: search => recordSearch(lines, 'gateway-1', search)});
 */
export function recordLeaderSearch(
  lines: ThrottledLines,
  id: string,
  {ask, tookMs, isAnswered, tries}: LeaderSearch,
): void {
  lines.record(`${ask} ${isAnswered}`, {
    type: isAnswered ? 'leader-found' : 'leader-not-found',
    subject: 'control',
    id,
    reason: isAnswered
      ? 'the leader was searched for'
      : 'no control process answered as leader in time',
    details: {
      ask,
      tookMs,
      tries: tries
        .map(({address, outcome, tookMs}) => `${address} ${outcome} ${tookMs}`)
        .join(', '),
    },
  });
}
