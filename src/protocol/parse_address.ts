import {ProtocolError} from './protocol_error';

const MAX_PORT = 65_535;

/**
 * Parses an address of the form `host:port`.
 *
 * @throws ProtocolError when the port is missing or invalid
 * @example
 * parseAddress('127.0.0.1:7000'); // {host: '127.0.0.1', port: 7000}
 */
export function parseAddress(address: string): {host: string; port: number} {
  const colon = address.lastIndexOf(':');
  const port = Number(address.slice(colon + 1));
  const isPort =
    colon > 0 && /^\d+$/.test(address.slice(colon + 1)) && port <= MAX_PORT;
  if (!isPort) {
    throw new ProtocolError(
      '"%s" is not an address like 127.0.0.1:7000',
      address,
    );
  }
  return {host: address.slice(0, colon), port};
}
