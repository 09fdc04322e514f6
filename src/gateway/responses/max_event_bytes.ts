import {MAX_HELD_BYTES} from './max_held_bytes';

/** Half of what a request may hold, because an event that came in pieces is joined before it is forwarded. */
export const MAX_EVENT_BYTES = MAX_HELD_BYTES / 2;
