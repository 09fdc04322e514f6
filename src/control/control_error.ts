import {VError} from 'verror';

/** A call that this control process cannot answer now. */
export class ControlError extends VError {}
