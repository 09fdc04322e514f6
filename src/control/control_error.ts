import {VError} from 'verror';

/** A call that this control process can't serve now; its caller should try another one. */
export class ControlError extends VError {}
