import {VError} from 'verror';

/** A protocol failure, such as an invalid message, an invalid signature or a call without an answer in time. */
export class ProtocolError extends VError {}
