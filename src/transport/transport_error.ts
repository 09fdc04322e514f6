import {VError} from 'verror';

/** A failure to connect, frame, send or receive bytes. */
export class TransportError extends VError {}
