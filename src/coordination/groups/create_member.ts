import {Group} from '../../protocol/group';
import {HostView} from './host_view';

/**
 * The member that a host becomes, under the incarnation that it reports.
 *
 * @example
 * const members = taken.map(createMember);
 */
export function createMember({report}: HostView): Group['members'][number] {
  const {hostId, incarnation, address} = report;
  return {hostId, incarnation, address};
}
