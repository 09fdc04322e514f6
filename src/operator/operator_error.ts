import {VError} from 'verror';

/** A failure of an operator's command, with its exit code in the error's info. */
export class OperatorError extends VError {}
