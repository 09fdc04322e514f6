/**
 * Loaded before a program of the soak: connections to the addresses that the
 * environment names go to a relay instead, as if the network did so.
 */
import * as net from 'node:net';

/** Relay ports on this machine by the address that the program asks for. */
const ports = JSON.parse(process.env['SOAK_ROUTES'] ?? '{}') as Record<
  string,
  number
>;

type Connect = (this: net.Socket, ...args: unknown[]) => net.Socket;
const connect = net.Socket.prototype.connect as Connect;

/** `net.connect` hands on its arguments as one list that begins with the options. */
function findOptions([first]: unknown[]): net.TcpNetConnectOpts | undefined {
  const options = Array.isArray(first) ? first[0] : first;
  return typeof options === 'object' && options !== null && 'port' in options
    ? (options as net.TcpNetConnectOpts)
    : undefined;
}

(net.Socket.prototype as {connect: Connect}).connect = function (...args) {
  const options = findOptions(args);
  const port = ports[`${options?.host}:${options?.port}`];
  if (options && port !== undefined) {
    options.host = '127.0.0.1';
    options.port = port;
  }
  return connect.apply(this, args);
};
