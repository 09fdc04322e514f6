/** One HTTP request to a backend server and its response, over a connection of its own. */
import * as http from 'node:http';
import {ServerAddress} from '../common/server_address';
import {ResponseCheck} from './response_check';
import {ServerWitness} from './server_witness';
import {TransportError} from './transport_error';

const CONNECT_TIMEOUT_MS = 1_000;
const HEADERS_TIMEOUT_MS = 120_000;
/** Time without a byte of the body while it is being read. */
const BODY_TIMEOUT_MS = 120_000;

const MAX_HEAD_BYTES = 16 * 1024;
/** Bytes that a server may send before the response, for interim responses. */
const MAX_BYTES_BEFORE_RESPONSE = 64 * 1024;
/** Bytes beside the body: a chunk may take 16 on the connection for each byte of it, and the rest of them 1 MiB. */
const MAX_BYTES_PER_BODY_BYTE = 16;
const MAX_EXTRA_BYTES = 1024 * 1024;

/** One HTTP request to a backend server. */
interface BackendRequest {
  readonly url: string;
  readonly method: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array;
  /** Closes the connection. */
  readonly signal: AbortSignal;
}

/** Status and headers of a response. */
interface ResponseHead {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
}

/** Opens a connection, sends the request at once, and closes the connection after the response. */
export class BackendExchange {
  /** Rejects with a TransportError named `NeverSent` when no connection was made, else `Broken`. */
  readonly head: Promise<ResponseHead>;
  /** Resolves when the connection is closed. */
  readonly closed: Promise<void>;
  private readonly request: http.ClientRequest;
  private response: http.IncomingMessage | undefined;
  private check: ResponseCheck | undefined;
  /** Of a response that ends with its connection. */
  private witness: ServerWitness | undefined;
  private isConnected = false;
  private receivedBytes = 0;
  private bodyBytes = 0;

  private constructor(private readonly options: BackendRequest) {
    const {url, method, path, headers, body, signal} = options;
    // Without an agent, Node.js never uses the connection for another request.
    this.request = http.request(url, {
      method,
      path,
      headers,
      agent: false,
      maxHeaderSize: MAX_HEAD_BYTES,
    });
    this.closed = new Promise(resolve => this.request.once('close', resolve));
    this.head = this.readHead();
    const abort = () => this.fail(new Error('the request was aborted'));
    signal.addEventListener('abort', abort, {once: true});
    void this.closed.then(() => signal.removeEventListener('abort', abort));
    if (signal.aborted) {
      abort();
    }
    this.request.end(body);
  }

  /**
   * Starts the exchange.
   *
   * @example
   * const exchange = BackendExchange.create({url, method, path, headers, body, signal});
   * const {status} = await exchange.head;
   */
  static create(options: BackendRequest): BackendExchange {
    return new BackendExchange(options);
  }

  /**
   * Reads the body once; ending the iteration early closes the connection.
   *
   * @throws TransportError when the body breaks off or the server falls silent
   */
  async *readBody(): AsyncGenerator<Buffer> {
    const chunks = (this.response ?? []) as AsyncIterable<Buffer>;
    let timer = this.startBodyTimer();
    try {
      for await (const chunk of chunks) {
        clearTimeout(timer);
        this.bodyBytes += chunk.length;
        rejectFault(this.check?.recordBody(chunk.length));
        yield chunk;
        timer = this.startBodyTimer();
      }
      rejectFault(this.check?.findFault());
      rejectFault(await this.findServerFault());
    } catch (error) {
      throw wrapError(error as Error, 'Broken');
    } finally {
      clearTimeout(timer);
      this.close();
    }
  }

  /** A process that was killed leaves its connections to the kernel, which ends them in order. */
  private async findServerFault(): Promise<string | undefined> {
    const state = (await this.witness?.check()) ?? 'listens';
    return state === 'listens'
      ? undefined
      : 'the server ended with its response';
  }

  /** Closes the connection at once. */
  close(): void {
    this.witness?.close();
    this.request.destroy();
  }

  private readHead(): Promise<ResponseHead> {
    return new Promise((resolve, reject) => {
      const timers = [
        setTimeout(() => {
          if (!this.isConnected) {
            this.fail(new Error('connecting timed out'));
          }
        }, CONNECT_TIMEOUT_MS),
        setTimeout(
          () => this.fail(new Error('no response in time')),
          HEADERS_TIMEOUT_MS,
        ),
      ];
      const settle = () => timers.forEach(timer => clearTimeout(timer));
      this.request.once('socket', socket => {
        this.check = ResponseCheck.create(socket);
        this.check.begin(this.request.method);
        socket.once('connect', () => (this.isConnected = true));
        socket.on('data', (chunk: Buffer) => this.countReceived(chunk.length));
      });
      this.request.once('response', response => {
        settle();
        this.response = response;
        // Whoever reads the body gets the error from the iteration.
        response.on('error', () => undefined);
        const status = response.statusCode ?? 0;
        const fault = this.check?.findHeadFault(status);
        if (fault) {
          this.fail(new Error(`no valid response: ${fault}`));
          return;
        }
        if (this.check?.endsWithConnection) {
          this.witness = ServerWitness.create(
            ServerAddress.parseUrl(this.options.url),
          );
        }
        resolve({status, headers: flattenHeaders(response.headers)});
      });
      this.request.on('error', error => {
        settle();
        this.failResponse(error);
        reject(wrapError(error, this.isConnected ? 'Broken' : 'NeverSent'));
      });
      // Closing without an error, before the response, is reported by this alone.
      this.request.once('close', () => {
        settle();
        reject(wrapError(new Error('closed'), 'Broken'));
      });
    });
  }

  /** Ends the exchange when the server sends too many bytes that belong to no body. */
  private countReceived(bytes: number): void {
    this.receivedBytes += bytes;
    const allowedBytes = this.response
      ? MAX_EXTRA_BYTES + MAX_BYTES_PER_BODY_BYTE * this.bodyBytes
      : MAX_BYTES_BEFORE_RESPONSE;
    if (this.receivedBytes > allowedBytes) {
      this.fail(new Error('bytes without end that are no response'));
    }
  }

  private startBodyTimer(): NodeJS.Timeout {
    const error = new Error('the response stopped');
    return setTimeout(() => this.fail(error), BODY_TIMEOUT_MS);
  }

  private fail(error: Error): void {
    this.failResponse(error);
    this.request.destroy(error);
  }

  /** Without this, Node.js would take a reset for the end of a response that names no length. */
  private failResponse(error: Error): void {
    if (this.response?.complete === false) {
      this.response.destroy(error);
    }
  }
}

function rejectFault(reason: string | undefined): void {
  if (reason) {
    throw new Error(`no valid response: ${reason}`);
  }
}

function wrapError(error: Error, name: 'NeverSent' | 'Broken'): TransportError {
  return new TransportError(
    {cause: error, name},
    'the backend server broke off',
  );
}

function flattenHeaders(
  headers: http.IncomingHttpHeaders,
): Record<string, string> {
  const flat: Record<string, string> = {};
  for (const [name, value] of Object.entries(headers)) {
    if (value !== undefined) {
      flat[name] = Array.isArray(value) ? value.join(', ') : value;
    }
  }
  return flat;
}
