import * as http from 'node:http';
import {ServerAddress} from '../common/server_address';
import {ResponseCheck} from './response_check';
import {TransportError} from './transport_error';

/** One call, and how long and how large its answer may be. */
interface ServerCall {
  readonly address: ServerAddress;
  readonly method: 'GET' | 'POST';
  readonly path: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string;
  /** Milliseconds for connecting and the whole answer together. */
  readonly timeoutMs: number;
  /** Limit of all bytes that the server sends, the head and interim responses included. */
  readonly maxAnswerBytes: number;
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
 * @throws TransportError when the whole answer does not arrive within the limits; the
 *     server may have executed the call
 * @example
 * const {status, body} = await callOnNewConnection({address: ServerAddress.parse('10.0.0.4:8080'), method: 'GET', path: '/v1/report', timeoutMs: 300, maxAnswerBytes: 65536});
 */
export function callOnNewConnection(call: ServerCall): Promise<ServerAnswer> {
  const {address, method, path, headers, body, timeoutMs} = call;
  return new Promise((resolve, reject) => {
    // Without an agent, Node.js opens a connection for this request alone.
    const {host, port} = address;
    const options = {host, port, path, agent: false, method, headers};
    const request = http.request(options);
    let check: ResponseCheck | undefined;
    const end = () => {
      clearTimeout(timer);
      request.destroy();
    };
    const fail = (error: Error) => {
      reject(new TransportError(error, 'the call to %s failed', `${address}`));
      end();
    };
    const timer = setTimeout(
      () => fail(new Error(`no whole answer within ${timeoutMs} ms`)),
      timeoutMs,
    );
    request.on('error', fail);
    request.on('socket', socket => {
      check = ResponseCheck.create(socket);
      check.begin(method);
      watchReceivedBytes(socket, call.maxAnswerBytes, fail);
    });
    request.on('response', response => {
      const status = response.statusCode ?? 0;
      const chunks: Buffer[] = [];
      response.on('error', fail);
      response.on('data', (chunk: Buffer) => {
        check?.recordBody(chunk.length);
        chunks.push(chunk);
      });
      response.on('end', () => {
        const fault = check?.findHeadFault(status) ?? check?.findFault();
        if (fault) {
          fail(new Error(`no valid response: ${fault}`));
          return;
        }
        resolve({status, body: Buffer.concat(chunks)});
        end();
      });
    });
    request.end(body);
  });
}

/** Counts on the socket: the limits of an HTTP parser do not cover interim responses, chunk extensions and bodies. */
function watchReceivedBytes(
  socket: NodeJS.ReadableStream,
  maxBytes: number,
  fail: (error: Error) => void,
): void {
  let receivedBytes = 0;
  socket.on('data', (chunk: Buffer) => {
    receivedBytes += chunk.length;
    if (receivedBytes > maxBytes) {
      fail(new Error(`the answer is over ${maxBytes} bytes`));
    }
  });
}
