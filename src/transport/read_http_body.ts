import {IncomingMessage} from 'node:http';
import {TransportError} from './transport_error';

/**
 * Reads a whole HTTP body. What comes beyond the limit is thrown away as it
 * arrives: a connection that is reset would take the answer with it.
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
        return;
      }
      chunks.length = 0;
      reject(
        new TransportError(
          {name: 'TooLarge'},
          'the body is over %d bytes',
          maxBytes,
        ),
      );
    });
    request.on('end', () => resolve(Buffer.concat(chunks)));
    request.on('error', error => {
      reject(new TransportError(error, 'the body broke off'));
    });
  });
}
