import {ThrottledEventLog} from '../common/throttled_event_log';
import {ControlClient} from '../protocol/control_client';
import {recordLeaderSearch} from './record_leader_search';
import {recordMalformedAddress} from './record_malformed_address';

/**
 * Creates the callbacks with which a client of control records what it meets.
 *
 * @param lines limits the number of recorded events
 * @param id the process that has the client
 * @example
 * const client = ControlClient.create({addresses, identity, ...createControlClientReports(lines, 'gateway-1')});
 */
export function createControlClientReports(
  lines: ThrottledEventLog,
  id: string,
): Pick<
  Parameters<typeof ControlClient.create>[0],
  'onSearched' | 'onMalformedAddress'
> {
  return {
    onSearched: search => recordLeaderSearch(lines, id, search),
    onMalformedAddress: error => recordMalformedAddress(lines, id, error),
  };
}
