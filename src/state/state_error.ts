import {VError} from 'verror';

/** A failure of durable state: a damaged file, a full disk, a folder in use. */
export class StateError extends VError {}
