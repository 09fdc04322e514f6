/** HTTP client for many servers with keep-alive connections; it never retries a request. */
import {Dispatcher, Pool} from 'undici';
import {createConnector} from './create_connector';
import {TransportError} from './transport_error';

/** Time for a new connection, after which the server counts as unreachable. */
const CONNECT_TIMEOUT_MS = 400;
/** Idle time after which a connection is closed. */
const IDLE_TIMEOUT_MS = 10_000;
/** Connections are closed this long before the server's keep-alive timeout. */
const IDLE_MARGIN_MS = 1_000;

/** One HTTP request and the address of its server. */
interface HttpClientRequest {
  /** `host:port`. */
  readonly address: string;
  readonly method: string;
  readonly path: string;
  /** Names and values alternate. */
  readonly headers: readonly string[];
  readonly body: Buffer | null;
  /** The largest number of connections to this server. */
  readonly maxConnections: number;
}

/** Callbacks for the progress of a request, in the order of their calls. */
interface HttpClientEvents {
  /** The request is about to be written to a connection: from now on it may run. False aborts it before the first byte. */
  readonly onSent: () => boolean;
  readonly onHead: (
    status: number,
    headers: Readonly<Record<string, string | string[] | undefined>>,
  ) => void;
  readonly onData: (chunk: Buffer) => void;
  /** The response is complete. */
  readonly onEnd: () => void;
  /** Called instead of `onEnd`. */
  readonly onError: (error: TransportError) => void;
}

/** Controls a request; `abort` closes its connection, so that the server notices. */
interface HttpClientHandle {
  readonly abort: () => void;
  readonly pause: () => void;
  readonly resume: () => void;
}

/** The connections to one server, and the limit with which they were created. */
interface LimitedPool {
  readonly pool: Pool;
  readonly maxConnections: number;
}

/** Sends requests over one connection pool for each server. */
export class HttpClientPool {
  private readonly pools = new Map<string, LimitedPool>();

  private constructor() {}

  /**
   * Creates a client without connections.
   *
   * @example
   * const client = HttpClientPool.create();
   * const handle = client.call(request, events);
   */
  static create(): HttpClientPool {
    return new HttpClientPool();
  }

  /** Starts a request. An error named `NeverSent` means that it cannot have run. */
  call(request: HttpClientRequest, events: HttpClientEvents): HttpClientHandle {
    let controller: Dispatcher.DispatchController | undefined;
    let isAborted = false;
    let isSent = false;
    const abortReason = new Error('the request was aborted');
    this.findPool(request).dispatch(
      {
        method: request.method as Dispatcher.HttpMethod,
        path: request.path,
        headers: [...request.headers],
        body: request.body,
      },
      {
        onRequestStart: started => {
          controller = started;
          if (isAborted) {
            started.abort(abortReason);
            return;
          }
          // This may run before `call` returns, so the caller cannot abort by the handle yet.
          isSent = events.onSent();
          if (!isSent) {
            started.abort(abortReason);
          }
        },
        onResponseStart: (_controller, status, headers) =>
          events.onHead(status, headers),
        onResponseData: (_controller, chunk) => events.onData(chunk),
        onResponseEnd: () => events.onEnd(),
        onResponseError: (_controller, error) =>
          events.onError(wrapError(error, isSent)),
      },
    );
    return {
      abort: () => {
        isAborted = true;
        controller?.abort(abortReason);
      },
      pause: () => controller?.pause(),
      resume: () => controller?.resume(),
    };
  }

  /** Drops the pools of all other servers; their connections close when they are idle. */
  retain(addresses: ReadonlySet<string>): void {
    for (const [address, {pool}] of this.pools) {
      if (!addresses.has(address)) {
        this.pools.delete(address);
        void pool.close().catch(() => undefined);
      }
    }
  }

  /** Closes all connections at once. */
  async close(): Promise<void> {
    const pools = [...this.pools.values()];
    this.pools.clear();
    await Promise.all(pools.map(({pool}) => pool.destroy()));
  }

  private findPool({address, maxConnections}: HttpClientRequest): Pool {
    const known = this.pools.get(address);
    if (known?.maxConnections === maxConnections) {
      return known.pool;
    }
    // A pool can't change its limit; the old one closes once its requests have ended.
    void known?.pool.close().catch(() => undefined);
    const pool = new Pool(`http://${address}`, {
      connections: maxConnections,
      // With pipelining, undici would resend the requests queued behind a failed one.
      pipelining: 1,
      connect: createConnector(CONNECT_TIMEOUT_MS),
      keepAliveTimeout: IDLE_TIMEOUT_MS,
      keepAliveTimeoutThreshold: IDLE_MARGIN_MS,
      headersTimeout: 0,
      bodyTimeout: 0,
    });
    this.pools.set(address, {pool, maxConnections});
    return pool;
  }
}

function wrapError(error: Error, isSent: boolean): TransportError {
  // The error code does not tell: an open connection can fail with the same codes as one that was never made.
  const name = isSent ? 'Broken' : 'NeverSent';
  return new TransportError(
    {cause: error, name},
    'the request to the backend server failed',
  );
}
