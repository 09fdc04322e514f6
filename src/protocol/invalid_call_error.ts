import {ProtocolError} from './protocol_error';

/** A call or its answer that does not match its schema; the other calls of the connection are not affected. */
export class InvalidCallError extends ProtocolError {
  override readonly name = 'InvalidCallError';

  constructor(
    /** The number of the call. */
    readonly call: number,
    reason: string,
  ) {
    super('%s', reason);
  }
}
