import {ProtocolError} from './protocol_error';

const MAX_PORT = 65_535;

/**
 * Splits `host:port`.
 *
 * @throws ProtocolError when the text has no port or a wrong one
 * @example
 * parseAddress('127.0.0.1:7000'); // {host: '127.0.0.1', port: 7000}
 */
export function parseAddress(address: string): {host: string; port: number} {
  const at = address.lastIndexOf(':');
  const port = Number(address.slice(at + 1));
  const isPort =
    at > 0 && /^\d+$/.test(address.slice(at + 1)) && port <= MAX_PORT;
  if (!isPort) {
    throw new ProtocolError(
      '"%s" is not an address like 127.0.0.1:7000',
      address,
    );
  }
  return {host: address.slice(0, at), port};
}
