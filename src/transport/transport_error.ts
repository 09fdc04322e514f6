import {VError} from 'verror';

/** A failure of bytes: connecting, framing, sending. */
export class TransportError extends VError {}
