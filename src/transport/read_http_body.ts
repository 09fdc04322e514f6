import {IncomingMessage} from 'node:http';
import {TransportError} from './transport_error';

/**
 * Reads a whole HTTP body. What comes beyond the limit is thrown away, and the
 * error waits for the end: a connection that is closed before it was read to
 * the end is reset, and the answer is lost with it.
 *
 * @throws TransportError named `TooLarge` when it is over the limit
 * @example
 * const body = await readHttpBody(request, 1024 * 1024);
 */
export function readHttpBody(
  request: IncomingMessage,
  maxBytes: number,
): Promise<Buffer> {
  return new Promise((resolve, reject) => {
    const chunks: Buffer[] = [];
    let size = 0;
    request.on('data', (chunk: Buffer) => {
      size += chunk.length;
      if (size <= maxBytes) {
        chunks.push(chunk);
      } else {
        chunks.length = 0;
      }
    });
    request.on('end', () => {
      if (size <= maxBytes) {
        resolve(Buffer.concat(chunks));
        return;
      }
      const name = 'TooLarge';
      reject(new TransportError({name}, 'the body is over %d bytes', maxBytes));
    });
    request.on('error', error => {
      reject(new TransportError(error, 'the body broke off'));
    });
  });
}
