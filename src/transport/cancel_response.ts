import {ServerResponse} from 'node:http';

/**
 * Closes the connection of a response that is incomplete, so that its caller sees that.
 * A missing last chunk or byte shows it; HTTP/1.0 has no chunks, so that only a reset does.
 *
 * @example
 * cancelResponse(response);
 */
export function cancelResponse(response: ServerResponse): void {
  if (!response.useChunkedEncodingByDefault) {
    response.socket?.resetAndDestroy();
  }
  response.destroy();
}
