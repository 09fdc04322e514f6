/** HTTP client of a host process for the backend server on its host. */
import {BackendExchange} from './backend_exchange';

type BackendRequest = Parameters<typeof BackendExchange.create>[0];

/** Status and headers of a response; `body` streams the rest. */
interface BackendResponse {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: AsyncIterable<Buffer>;
  /** Drops the rest of the body and closes the connection. */
  readonly discard: () => void;
}

/** Sends requests to backend servers, each over a new connection, and never retries one. */
export class BackendHttpClient {
  private readonly exchanges = new Set<BackendExchange>();

  private constructor() {}

  /**
   * Creates a client. A backend server does not return the id of its request, so
   * only a connection that carries no other request shows whose a response is.
   *
   * @example
   * const backend = BackendHttpClient.create();
   */
  static create(): BackendHttpClient {
    return new BackendHttpClient();
  }

  /**
   * Sends a request and resolves when the response headers have arrived.
   *
   * @throws TransportError named `NeverSent` when no connection was made, so
   *     that the request cannot have run; named `Broken` when it may have
   */
  async call(request: BackendRequest): Promise<BackendResponse> {
    const exchange = BackendExchange.create(request);
    this.exchanges.add(exchange);
    void exchange.closed.then(() => this.exchanges.delete(exchange));
    const {status, headers} = await exchange.head;
    return {
      status,
      headers,
      body: exchange.readBody(),
      discard: () => exchange.close(),
    };
  }

  /** Closes all connections at once. */
  close(): void {
    this.exchanges.forEach(exchange => exchange.close());
  }
}
