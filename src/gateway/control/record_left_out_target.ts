import {MAX_QUOTED_ADDRESS_LENGTH} from '../../common/max_quoted_address_length';
import {ThrottledEventLog} from '../../common/throttled_event_log';
import {parseTargets} from './parse_targets';

type MalformedTarget = ReturnType<typeof parseTargets>['malformed'][number];

/**
 * Records that a backend server gets no requests, as its address is malformed.
 *
 * @param lines limits the number of recorded events, for each pool
 * @example
 * malformed.forEach(each => recordLeftOutTarget(lines, each));
 */
export function recordLeftOutTarget(
  lines: ThrottledEventLog,
  {target: {incarnation, pool, address}, reason}: MalformedTarget,
): void {
  lines.record(`target-left-out ${pool}`, {
    type: 'target-left-out',
    subject: 'host',
    id: incarnation,
    reason,
    details: {pool, address: address.slice(0, MAX_QUOTED_ADDRESS_LENGTH)},
  });
}
