import * as http from 'node:http';
import {TransportError} from './transport_error';

/** One call, and how long it may take. */
interface ServerCall {
  /** `host:port`. */
  readonly address: string;
  readonly method: 'GET' | 'POST';
  readonly path: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string;
  /** Milliseconds for connecting and the whole answer together. */
  readonly timeoutMs: number;
}

interface ServerAnswer {
  readonly status: number;
  readonly body: Buffer;
}

/**
 * Makes one HTTP call on a connection that is opened for it and closed after it. A
 * late or repeated answer to another call has no way into it, and the call is never
 * sent twice.
 *
 * @throws TransportError when the whole answer does not arrive in time; the
 *     server may have executed the call
 * @example
 * const {status, body} = await callOnNewConnection({address: '10.0.0.4:8080', method: 'GET', path: '/v1/report', timeoutMs: 300});
 */
export function callOnNewConnection(call: ServerCall): Promise<ServerAnswer> {
  const {address, method, path, headers, body, timeoutMs} = call;
  return new Promise((resolve, reject) => {
    // Without an agent, Node.js opens a connection for this request alone.
    const options = {agent: false, method, headers};
    const request = http.request(`http://${address}${path}`, options);
    const end = () => {
      clearTimeout(timer);
      request.destroy();
    };
    const fail = (error: Error) => {
      reject(new TransportError(error, 'the call to %s failed', address));
      end();
    };
    const timer = setTimeout(
      () => fail(new Error(`no whole answer within ${timeoutMs} ms`)),
      timeoutMs,
    );
    request.on('error', fail);
    request.on('response', response => {
      const chunks: Buffer[] = [];
      response.on('error', fail);
      response.on('data', (chunk: Buffer) => chunks.push(chunk));
      response.on('end', () => {
        resolve({
          status: response.statusCode ?? 0,
          body: Buffer.concat(chunks),
        });
        end();
      });
    });
    request.end(body);
  });
}
