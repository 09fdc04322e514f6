/** Calls to the backend server beside a host process. */
import {Agent, Dispatcher, errors} from 'undici';
import {TransportError} from './transport_error';

const CONNECT_TIMEOUT_MS = 1_000;
const HEADERS_TIMEOUT_MS = 120_000;

/** One call. */
interface BackendCall {
  readonly url: string;
  readonly method: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array;
  readonly signal: AbortSignal;
}

/** The beginning of an answer; `body` yields the rest. */
interface BackendAnswer {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: AsyncIterable<Buffer>;
  /** Reads the rest without keeping it, so that the connection is used again. */
  readonly discard: () => Promise<void>;
}

/** Sends calls to backend servers and never sends one twice. */
export class BackendHttpClient {
  private constructor(private readonly agent: Agent) {}

  /**
   * Creates a client with its own connections.
   *
   * One request at a time on a connection: with more, the library would send
   * again what stood behind a broken one.
   *
   * @example
   * const backend = HttpBackend.create();
   */
  static create(): BackendHttpClient {
    const agent = new Agent({
      pipelining: 1,
      connect: {timeout: CONNECT_TIMEOUT_MS},
      headersTimeout: HEADERS_TIMEOUT_MS,
      bodyTimeout: HEADERS_TIMEOUT_MS,
    });
    return new BackendHttpClient(agent);
  }

  /**
   * Starts a call and resolves when its headers are there.
   *
   * @throws TransportError named `NeverSent` when no connection was made, so
   *     that nothing can have run; with another name when something may have
   */
  async call(call: BackendCall): Promise<BackendAnswer> {
    let answer: Dispatcher.ResponseData;
    try {
      answer = await this.agent.request({
        origin: call.url,
        method: call.method as Dispatcher.HttpMethod,
        path: call.path,
        headers: call.headers,
        body: call.body.length === 0 ? null : call.body,
        signal: call.signal,
      });
    } catch (error) {
      const name = isNeverSent(error as Error) ? 'NeverSent' : 'Broken';
      throw new TransportError(
        {cause: error as Error, name},
        'the backend server broke off',
      );
    }
    return {
      status: answer.statusCode,
      headers: flattenHeaders(answer.headers),
      body: answer.body,
      discard: () => answer.body.dump(),
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
