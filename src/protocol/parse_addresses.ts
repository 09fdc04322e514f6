import {AddressError} from '../common/address_error';
import {ServerAddress} from '../common/server_address';

/**
 * Parses addresses that came in a message, and leaves out malformed ones: a process of
 * another version, or a disk, may hold some, and the others are needed.
 *
 * @param onMalformed receives the error of each address that is left out
 * @example
 * const control = parseAddresses(answer.control, error => record(error.message));
 */
export function parseAddresses(
  texts: readonly string[],
  onMalformed?: (error: AddressError) => void,
): readonly ServerAddress[] {
  return texts.flatMap(text => {
    try {
      return ServerAddress.parse(text);
    } catch (error) {
      onMalformed?.(error as AddressError);
      return [];
    }
  });
}
