import {AddressError} from '../common/address_error';
import {ThrottledEventLog} from '../common/throttled_event_log';

const TYPE = 'control-address-left-out';

/**
 * Records that the address of a control process is malformed, so that this process
 * does not connect to it.
 *
 * @param lines limits the number of recorded events
 * @param id the process that left it out
 * @example
 * const client = ControlClient.create({addresses, identity, onMalformedAddress: error => recordMalformedAddress(lines, 'gateway-1', error)});
 */
export function recordMalformedAddress(
  lines: ThrottledEventLog,
  id: string,
  error: AddressError,
): void {
  const reason = error.message;
  lines.record(TYPE, {type: TYPE, subject: 'control', id, reason});
}
