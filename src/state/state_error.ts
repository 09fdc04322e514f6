import {VError} from 'verror';

/** An error of the durable state: a corrupted file, a full disk, or a data folder in use. */
export class StateError extends VError {}
