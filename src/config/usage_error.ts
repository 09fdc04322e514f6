import {VError} from 'verror';

/** Wrong flags, variables or files: the user must change something. Exit code 2. */
export class UsageError extends VError {}
