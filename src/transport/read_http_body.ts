import {IncomingMessage} from 'node:http';
import {TransportError} from './transport_error';

/**
 * Reads a whole HTTP body.
 *
 * @throws TransportError named `TooLarge` when it is over the limit
 * @example
 * const body = await readHttpBody(request, 1024 * 1024);
 */
export async function readHttpBody(
  request: IncomingMessage,
  maxBytes: number,
): Promise<Buffer> {
  const chunks: Buffer[] = [];
  let size = 0;
  for await (const chunk of request as AsyncIterable<Buffer>) {
    size += chunk.length;
    if (size > maxBytes) {
      throw new TransportError(
        {name: 'TooLarge'},
        'the body is over %d bytes',
        maxBytes,
      );
    }
    chunks.push(chunk);
  }
  return chunks.length === 1 ? chunks[0] : Buffer.concat(chunks);
}
