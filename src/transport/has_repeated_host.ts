import {IncomingMessage} from 'node:http';

/**
 * Tells whether a request has more than one `host` header, which HTTP forbids.
 * Node.js accepts it and keeps the first.
 *
 * @example
 * if (hasRepeatedHost(message)) response.writeHead(400).end();
 */
export function hasRepeatedHost({
  rawHeaders,
}: Pick<IncomingMessage, 'rawHeaders'>): boolean {
  const names = rawHeaders.filter((_, at) => at % 2 === 0);
  return names.filter(name => name.toLowerCase() === 'host').length > 1;
}
