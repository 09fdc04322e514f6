/** Calls to many HTTP servers over kept connections; nothing is ever sent twice. */
import {Dispatcher, Pool} from 'undici';
import {createConnector} from './create_connector';
import {TransportError} from './transport_error';

/** A new connection is given this long; beyond it the server counts as away. */
const CONNECT_TIMEOUT_MS = 400;
/** Connections that no request used for this long are closed. */
const IDLE_TIMEOUT_MS = 10_000;
/** Closed this long before the server says that it would close. */
const IDLE_MARGIN_MS = 1_000;

/** One call. */
interface OriginCall {
  /** `host:port`. */
  readonly address: string;
  readonly method: string;
  readonly path: string;
  /** Names and values in turn. */
  readonly headers: readonly string[];
  readonly body: Buffer | null;
  /** Connections to this server at most. */
  readonly maxConnections: number;
}

/** What becomes of a call, step by step. */
interface OriginEvents {
  /** It is about to be written to a connection: from now on it may run. */
  readonly onSent: () => void;
  readonly onHead: (
    status: number,
    headers: Readonly<Record<string, string | string[] | undefined>>,
  ) => void;
  readonly onData: (chunk: Buffer) => void;
  /** The whole answer is there. */
  readonly onEnd: () => void;
  /** Told instead of `onEnd`. */
  readonly onError: (error: TransportError) => void;
}

/** Ends a call early: its connection is closed, so the server notices. */
interface OriginHandle {
  readonly abort: () => void;
  readonly pause: () => void;
  readonly resume: () => void;
}

/** One small pool of connections for each server. */
export class HttpClientPool {
  private readonly pools = new Map<string, Pool>();

  private constructor() {}

  /**
   * Creates a client without connections.
   *
   * @example
   * const origins = HttpOrigins.create();
   * const handle = origins.call(call, events);
   */
  static create(): HttpClientPool {
    return new HttpClientPool();
  }

  /** Starts a call. Errors named `NeverSent` mean that nothing can have run. */
  call(call: OriginCall, events: OriginEvents): OriginHandle {
    let controller: Dispatcher.DispatchController | undefined;
    let isAborted = false;
    let isSent = false;
    const stopped = new Error('given up by the caller');
    this.findPool(call).dispatch(
      {
        method: call.method as Dispatcher.HttpMethod,
        path: call.path,
        headers: [...call.headers],
        body: call.body,
      },
      {
        onRequestStart: started => {
          controller = started;
          if (isAborted) {
            started.abort(stopped);
            return;
          }
          isSent = true;
          events.onSent();
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
        controller?.abort(stopped);
      },
      pause: () => controller?.pause(),
      resume: () => controller?.resume(),
    };
  }

  /** Closes the connections to servers that are not wanted any more, once they are idle. */
  retain(addresses: ReadonlySet<string>): void {
    for (const [address, pool] of this.pools) {
      if (!addresses.has(address)) {
        this.pools.delete(address);
        void pool.close().catch(() => undefined);
      }
    }
  }

  /** Closes everything at once. */
  async close(): Promise<void> {
    const pools = [...this.pools.values()];
    this.pools.clear();
    await Promise.all(pools.map(pool => pool.destroy()));
  }

  private findPool({address, maxConnections}: OriginCall): Pool {
    let pool = this.pools.get(address);
    if (!pool) {
      pool = new Pool(`http://${address}`, {
        connections: maxConnections,
        // With more than one, the library would send again what stood behind a broken one.
        pipelining: 1,
        connect: createConnector(CONNECT_TIMEOUT_MS),
        keepAliveTimeout: IDLE_TIMEOUT_MS,
        keepAliveTimeoutThreshold: IDLE_MARGIN_MS,
        headersTimeout: 0,
        bodyTimeout: 0,
      });
      this.pools.set(address, pool);
    }
    return pool;
  }
}

function wrapError(error: Error, isSent: boolean): TransportError {
  // A connection that stands can end with the same codes as one that is not made.
  const name = isSent ? 'Broken' : 'NeverSent';
  return new TransportError(
    {cause: error, name},
    'the call to the backend server ended early',
  );
}
