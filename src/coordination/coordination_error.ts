import {VError} from 'verror';

/** A decision that cannot be made: wrong order of events, a broken invariant. */
export class CoordinationError extends VError {}
