import {Group} from '../../protocol/group';
import {HostView} from './host_view';

/**
 * Creates the group member for a host, with the incarnation that it reports.
 *
 * @example
 * const members = allocated.map(createMember);
 */
export function createMember({report}: HostView): Group['members'][number] {
  const {hostId, incarnation, address} = report;
  return {hostId, incarnation, address};
}
