import {createRandom} from '../soak/create_random';

/** None of these may stand anywhere in an address. */
const FORBIDDEN = [' ', '/', '?', '#', '@', '%', '^', '|', '☃', '\n', '\u0000'];
const MAX_PORT = 65_535;

type Draw = (limit: number) => number;

/**
 * Draws strings in place of an address that are none, by changing a sound one.
 *
 * @param address of a server that runs, an IPv4 address with a port
 * @example
 * drawMalformedAddresses('127.0.0.1:8080', 7, 12); // ['127.0.0.1 :8080', ...]
 */
export function drawMalformedAddresses(
  address: string,
  seed: number,
  count: number,
): string[] {
  const random = createRandom(seed);
  const draw: Draw = limit => Math.floor(random() * limit);
  const [host, port] = address.split(':');
  const changes: Array<() => string> = [
    () => insert(address, draw(address.length + 1), FORBIDDEN, draw),
    () => `${host}:${MAX_PORT + 1 + draw(MAX_PORT)}`,
    () => `${host}:${'0'.repeat(1 + draw(5))}`,
    () => `${host}.${draw(256)}:${port}`,
    () => `${host.replace(/\d+$/, String(256 + draw(744)))}:${port}`,
    () => `[fd00::${draw(9_999)}:${port}`,
    () => `${'x'.repeat(64 + draw(200))}:${port}`,
    () => `${host}:${port}${address.slice(0, 1 + draw(address.length))}`,
  ];
  return Array.from({length: count}, (_, at) => changes[at % changes.length]());
}

function insert(
  text: string,
  at: number,
  signs: readonly string[],
  draw: Draw,
): string {
  return `${text.slice(0, at)}${signs[draw(signs.length)]}${text.slice(at)}`;
}
