/** Characters of a malformed address that errors and logs quote: it may be as long as its sender likes. */
export const MAX_QUOTED_ADDRESS_LENGTH = 100;
