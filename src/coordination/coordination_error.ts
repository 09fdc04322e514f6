import {VError} from 'verror';

/** Thrown when events arrive in an impossible order or an invariant is violated. */
export class CoordinationError extends VError {}
