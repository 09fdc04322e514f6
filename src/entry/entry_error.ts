import {VError} from 'verror';

/** A failure of an entry process's own work. */
export class EntryError extends VError {}
