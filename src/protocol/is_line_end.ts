const LINE_FEED = 10;
const CARRIAGE_RETURN = 13;

/**
 * True for a byte that ends a line of an event stream, alone or as half of a CR LF.
 *
 * @example
 * isLineEnd(bytes[at]);
 */
export function isLineEnd(byte: number): boolean {
  return byte === LINE_FEED || byte === CARRIAGE_RETURN;
}
