/** Where a server listens: the only place that takes an address apart. */
import * as net from 'node:net';
import {AddressError} from './address_error';
import {MAX_QUOTED_ADDRESS_LENGTH} from './max_quoted_address_length';

const MAX_PORT = 65_535;
/** A URL without a port means this one. */
const HTTP_PORT = 80;
const MAX_NAME_LENGTH = 253;
const PORT = /^(?:0|[1-9]\d{0,4})$/;
/** Labels of a DNS name; underscores occur in names of services. */
const LABEL = /^[a-z0-9_](?:[a-z0-9_-]{0,61}[a-z0-9_])?$/i;
/** Resolvers take a name whose last label is a number for an abbreviated IPv4 address. */
const NUMERIC_LABEL = /^(?:\d+|0x[0-9a-f]*)$/i;
/** A name that begins like this is encoded, and not every one can be decoded. */
const ENCODED_LABEL = /^xn--/i;

/** A host and a port to connect to. */
export class ServerAddress {
  private constructor(
    /** An IPv4 address, an IPv6 address without brackets, or a DNS name. */
    readonly host: string,
    /** From 1 to 65535. */
    readonly port: number,
  ) {}

  /**
   * Creates the address of a host and a port.
   *
   * @throws AddressError if the host is neither an IP address nor a name
   * @example
   * ServerAddress.create('::1', 8080).toString(); // '[::1]:8080'
   */
  static create(host: string, port: number): ServerAddress {
    return ServerAddress.parse(formatParts(host, port));
  }

  /**
   * Parses `host:port`, where the host is an IPv4 address, an IPv6 address in
   * brackets or a DNS name.
   *
   * @throws AddressError that says what is wrong with the text
   * @example
   * const {host, port} = ServerAddress.parse('[::1]:8080'); // '::1', 8080
   */
  static parse(text: string): ServerAddress {
    const {host, port} = parseParts(text, 1);
    return new ServerAddress(host, port);
  }

  /**
   * Parses an address to listen on, where port 0 stands for any free port.
   *
   * @throws AddressError that says what is wrong with the text
   * @example
   * const {host, port} = ServerAddress.parseListener('127.0.0.1:0');
   */
  static parseListener(text: string): {host: string; port: number} {
    return parseParts(text, 0);
  }

  /**
   * Parses the address in a URL of the form `http://host:port`.
   *
   * @throws AddressError if a connection to its host cannot be made
   * @example
   * ServerAddress.parseUrl('http://localhost/v1').toString(); // 'localhost:80'
   */
  static parseUrl(url: string): ServerAddress {
    const {hostname, port} = new URL(url);
    return ServerAddress.parse(`${hostname}:${port || HTTP_PORT}`);
  }

  /**
   * Parses an address that may be invalid.
   *
   * @returns undefined for a text that is no address
   * @example
   * ServerAddress.find('127.0.0.1'); // undefined
   */
  static find(text: string): ServerAddress | undefined {
    try {
      return ServerAddress.parse(text);
    } catch {
      return undefined;
    }
  }

  /** Returns the same host with another port. */
  replacePort(port: number): ServerAddress {
    return new ServerAddress(this.host, port);
  }

  /** The form that `parse` reads, in messages and on disk; equal addresses have equal texts. */
  toString(): string {
    return formatParts(this.host, this.port);
  }
}

function formatParts(host: string, port: number): string {
  return net.isIPv6(host) ? `[${host}]:${port}` : `${host}:${port}`;
}

function parseParts(
  text: string,
  minPort: number,
): {host: string; port: number} {
  const colon = text.lastIndexOf(':');
  if (colon < 0) {
    throw createError(text, 'it has no port');
  }
  const host = parseHost(text, text.slice(0, colon));
  const digits = text.slice(colon + 1);
  const port = Number(digits);
  if (!PORT.test(digits) || port < minPort || port > MAX_PORT) {
    const range = `${minPort} to ${MAX_PORT}`;
    throw createError(text, `its port is no number from ${range}`);
  }
  return {host, port};
}

function parseHost(text: string, host: string): string {
  if (host.startsWith('[') || host.includes(':')) {
    return parseIPv6(text, host);
  }
  if (net.isIPv4(host)) {
    return host;
  }
  const labels = host.replace(/\.$/, '').split('.');
  const isName =
    host.length <= MAX_NAME_LENGTH && labels.every(each => LABEL.test(each));
  if (!isName) {
    throw createError(text, 'its host is no IP address and no name');
  }
  if (NUMERIC_LABEL.test(labels[labels.length - 1])) {
    throw createError(text, 'its host is no whole IPv4 address');
  }
  const isEncoded = labels.some(label => ENCODED_LABEL.test(label));
  if (isEncoded && !URL.canParse(`http://${host}`)) {
    throw createError(text, 'its host is a name that cannot be decoded');
  }
  return host.toLowerCase();
}

function parseIPv6(text: string, host: string): string {
  const [, inner = ''] = /^\[([0-9a-f:.]+)\]$/i.exec(host) ?? [];
  if (!net.isIPv6(inner)) {
    throw createError(text, 'its host is no IPv6 address in brackets');
  }
  // The canonical form, as one address has many spellings.
  return new URL(`http://[${inner}]`).hostname.slice(1, -1);
}

function createError(text: string, reason: string): AddressError {
  return new AddressError(
    '%s is no address like 10.0.0.1:8080: %s',
    JSON.stringify(text.slice(0, MAX_QUOTED_ADDRESS_LENGTH)),
    reason,
  );
}
