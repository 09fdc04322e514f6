/** The largest number of bytes of a response that are held for one request. */
export const MAX_HELD_BYTES = 8 * 1024 * 1024;
