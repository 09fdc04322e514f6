/**
 * Ends of backend servers within this of each other may have one cause: a rack or a
 * series of crashes is over within some seconds. What two ends speak against is not
 * sent, and not judged, until it is known whether others ended near.
 */
export const CORRELATED_CRASH_WINDOW_MS = 2_000;
