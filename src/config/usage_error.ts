import {VError} from 'verror';

/** Invalid flags, variables or files, which the user must correct; exit code 2. */
export class UsageError extends VError {}
