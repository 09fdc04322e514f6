import {VError} from 'verror';

/** A text that is no address of a server; the message says why. */
export class AddressError extends VError {
  override readonly name = 'AddressError';
}
