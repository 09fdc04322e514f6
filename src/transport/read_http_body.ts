import {IncomingMessage} from 'node:http';
import {TransportError} from './transport_error';

/**
 * Reads a whole HTTP body. Bytes beyond the limit are discarded, and the error is
 * thrown only at the end of the body: closing a connection with unread bytes resets
 * it, and the response would be lost.
 *
 * @throws TransportError named `TooLarge` when the body exceeds the limit
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
