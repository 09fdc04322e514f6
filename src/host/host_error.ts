import {VError} from 'verror';

/** A failure of a host process's own work. */
export class HostError extends VError {}
