/**
 * Crashes of backend servers within this time of each other may have a common cause:
 * the loss of a rack or a series of crashes is over within some seconds. A request
 * suspected after two crashes is neither sent nor judged until this time has passed
 * and crashes near them are known.
 */
export const CORRELATED_CRASH_WINDOW_MS = 2_000;
