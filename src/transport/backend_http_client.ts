/** HTTP client of a host process for the backend server on its host. */
import {Agent, Dispatcher, errors} from 'undici';
import {TransportError} from './transport_error';

const CONNECT_TIMEOUT_MS = 1_000;
const HEADERS_TIMEOUT_MS = 120_000;

/** One HTTP request to a backend server. */
interface BackendRequest {
  readonly url: string;
  readonly method: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array;
  readonly signal: AbortSignal;
}

/** Status and headers of a response; `body` streams the rest. */
interface BackendResponse {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: AsyncIterable<Buffer>;
  /** Reads and drops the rest of the body. */
  readonly discard: () => Promise<void>;
}

/** Sends requests to backend servers and never retries one. */
export class BackendHttpClient {
  private constructor(private readonly agent: Agent) {}

  /**
   * Creates a client that opens a connection for each request. On a kept one, a
   * repeated answer to an earlier request was taken for the answer, and with pipelining
   * undici would resend the requests queued behind a failed one.
   *
   * @example
   * const backend = BackendHttpClient.create();
   */
  static create(): BackendHttpClient {
    const agent = new Agent({
      // Sends `connection: close`, and closes the connection whether the server does or not.
      pipelining: 0,
      connect: {timeout: CONNECT_TIMEOUT_MS},
      headersTimeout: HEADERS_TIMEOUT_MS,
      bodyTimeout: HEADERS_TIMEOUT_MS,
    });
    return new BackendHttpClient(agent);
  }

  /**
   * Sends a request and resolves when the response headers have arrived.
   *
   * @throws TransportError named `NeverSent` when no connection was made, so
   *     that the request cannot have run; named `Broken` when it may have
   */
  async call(request: BackendRequest): Promise<BackendResponse> {
    let response: Dispatcher.ResponseData;
    try {
      response = await this.agent.request({
        origin: request.url,
        method: request.method as Dispatcher.HttpMethod,
        path: request.path,
        headers: request.headers,
        body: request.body.length === 0 ? null : request.body,
        signal: request.signal,
      });
    } catch (error) {
      const name = isNeverSent(error as Error) ? 'NeverSent' : 'Broken';
      throw new TransportError(
        {cause: error as Error, name},
        'the backend server broke off',
      );
    }
    return {
      status: response.statusCode,
      headers: flattenHeaders(response.headers),
      body: response.body,
      discard: () => response.body.dump(),
    };
  }

  /** Closes all connections at once. */
  async close(): Promise<void> {
    await this.agent.destroy();
  }
}

function isNeverSent(error: Error): boolean {
  const code = (error as NodeJS.ErrnoException).code ?? '';
  return error instanceof errors.ConnectTimeoutError || code === 'ECONNREFUSED';
}

function flattenHeaders(
  headers: Dispatcher.ResponseData['headers'],
): Record<string, string> {
  const flat: Record<string, string> = {};
  for (const [name, value] of Object.entries(headers)) {
    if (value !== undefined) {
      flat[name] = Array.isArray(value) ? value.join(', ') : value;
    }
  }
  return flat;
}
