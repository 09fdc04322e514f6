import {VError} from 'verror';

/** A failure of a `whinreel` command; `kind` in its info selects the exit code. */
export class OperatorError extends VError {}
