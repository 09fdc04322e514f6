import {VError} from 'verror';

/** A failure of messages: an unknown shape, a wrong signature, no answer in time. */
export class ProtocolError extends VError {}
