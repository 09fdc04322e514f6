/** HTTP client for many servers with keep-alive connections; it never retries a request. */
import {Dispatcher} from 'undici';
import {FaultBoundary} from '../common/fault_boundary';
import {ServerAddress} from '../common/server_address';
import {ConnectionUse} from './connection_use';
import {ExchangeControl} from './exchange_control';
import {ExchangeEvents} from './exchange_events';
import {OVERFLOW_CODE} from './overflow_code';
import {ServerConnections} from './server_connections';
import {ServerWitnesses} from './server_witnesses';
import {TransportError} from './transport_error';
import {UNSENDABLE_CODE} from './unsendable_code';

/** One HTTP request and the address of its server. */
interface HttpClientRequest {
  /** Identifies the request in its response; a connection carries each id at most once. */
  readonly id: string;
  readonly address: ServerAddress;
  readonly method: string;
  readonly path: string;
  /** Names and values alternate. */
  readonly headers: readonly string[];
  readonly body: Buffer | null;
  /** The largest number of connections to this server. */
  readonly maxConnections: number;
}

/** Callbacks for the progress of a request, in the order of their calls. */
interface HttpClientEvents extends Pick<ExchangeEvents, 'onData'> {
  /** Called with the head of the response, never with an interim one. */
  readonly onHead: (
    status: number,
    headers: Readonly<Record<string, string | string[] | undefined>>,
  ) => void;
  /** The request is about to be written to a connection: from now on it may run. False aborts it before the first byte. */
  readonly onSent: (use: ConnectionUse) => boolean;
  /** The body ended with its connection; called before `onEnd`, with whether the server still listens; `unknown` after a pause of this process. */
  readonly onEndedByConnection?: (state: EndState) => void;
  /** The response is whole. */
  readonly onEnd: () => void;
  /**
   * Called instead of `onEnd`. Its name is `NeverSent` if no connection was made,
   * `Unsendable` if the request cannot be written as HTTP, `Oversized` if the response
   * has too many bytes besides its body, and else `Broken`. With the first two it cannot
   * have run.
   */
  readonly onError: (error: TransportError) => void;
}

type ServerState = Awaited<
  ReturnType<ReturnType<ServerWitnesses['acquire']>['check']>
>;
/** `unknown`: this process was held up, and the server may be another one. */
type EndState = ServerState | 'unknown';

/** Tells at the end of a response whether its server still runs. */
interface Witness {
  readonly check: () => Promise<EndState>;
  readonly release: () => void;
}

/** Controls a request; `abort` closes its connection, so that the server notices. */
interface HttpClientHandle {
  readonly abort: () => void;
  /** Discards the rest of the response, and keeps its connection if the rest is short and ends soon. */
  readonly drain: () => void;
  readonly pause: () => void;
  readonly resume: () => void;
}

/** Sends requests over one connection pool for each server. */
export class HttpClientPool {
  private readonly pools = new Map<string, ServerConnections>();
  private readonly witnesses = ServerWitnesses.create();

  private constructor(private readonly hasPausedLately: () => boolean) {}

  /**
   * Creates a client without connections.
   *
   * @param hasPausedLately true if this process was held up, so that what it reads may
   *     have arrived long before
   * @example
   * const client = HttpClientPool.create(() => pauses.hasPausedLately());
   * const handle = client.call(request, events);
   */
  static create(hasPausedLately: () => boolean = () => false): HttpClientPool {
    return new HttpClientPool(hasPausedLately);
  }

  /** Starts a request; `events` must not throw. */
  call(request: HttpClientRequest, events: HttpClientEvents): HttpClientHandle {
    let control: ExchangeControl | undefined;
    let isAborted = false;
    let isSent = false;
    let hasReturned = false;
    let isNeeded = true;
    let witness: Witness | undefined;
    const abortReason = new Error('the request was aborted');
    // A response whose end cannot be judged is not whole.
    const boundary = FaultBoundary.create(fault => control?.abort(fault));
    const withdraw = this.findPool(request).dispatch(
      request.id,
      {
        method: request.method as Dispatcher.HttpMethod,
        path: request.path,
        headers: [...request.headers],
        body: request.body,
      },
      {
        onStart: (started, use) => {
          control = started;
          if (isAborted) {
            started.abort(abortReason);
            return;
          }
          // This may run before `call` returns, so the caller cannot abort by the handle yet.
          isSent = events.onSent(use);
          if (!isSent) {
            started.abort(abortReason);
          }
        },
        onHead: (status, headers, endsWithConnection) => {
          events.onHead(status, headers);
          // A refusal is not needed any more by then.
          queueMicrotask(
            boundary.wrap(() => {
              if (endsWithConnection && isNeeded) {
                witness = this.acquireWitness(request.address);
              }
            }),
          );
        },
        onData: events.onData,
        onEnd: () => {
          if (witness) {
            void checkEnd(witness, events);
          } else {
            events.onEnd();
          }
        },
        onError: error => {
          witness?.release();
          const report = () => events.onError(wrapError(error, isSent));
          // The caller needs the handle before it hears of the end.
          if (hasReturned) {
            report();
          } else {
            queueMicrotask(report);
          }
        },
      },
    );
    hasReturned = true;
    return {
      abort: () => {
        isAborted = true;
        isNeeded = false;
        witness?.release();
        if (control) {
          control.abort(abortReason);
        } else {
          withdraw(abortReason);
        }
      },
      drain: () => {
        isNeeded = false;
        control?.drain();
      },
      pause: () => control?.pause(),
      resume: () => control?.resume(),
    };
  }

  /** Drops the pools of all other servers; their connections close when they are idle. */
  retain(addresses: ReadonlySet<string>): void {
    for (const [address, pool] of this.pools) {
      if (!addresses.has(address)) {
        this.pools.delete(address);
        pool.retire();
      }
    }
  }

  /** Closes all connections at once. */
  async close(): Promise<void> {
    const pools = [...this.pools.values()];
    this.pools.clear();
    await Promise.all(pools.map(pool => pool.close()));
  }

  /** Opens a connection that tells at the end of a response whether its server still runs. */
  private acquireWitness(address: ServerAddress): Witness {
    // A server may have ended during a pause of this process, and started again.
    const isUnknown = this.hasPausedLately();
    const {check, release} = this.witnesses.acquire(address);
    return {
      check: async () => (isUnknown ? 'unknown' : check()),
      release,
    };
  }

  private findPool({
    address,
    maxConnections,
  }: HttpClientRequest): ServerConnections {
    const key = address.toString();
    const known = this.pools.get(key);
    if (known?.limit === maxConnections) {
      return known;
    }
    // The limit of a pool is fixed; the old one closes once its requests have ended.
    known?.retire();
    const pool = ServerConnections.create(address, maxConnections);
    this.pools.set(key, pool);
    return pool;
  }
}

/**
 * Completes a response that ended with its connection. The kernel ends the connections
 * of a killed process in order as well, so that only a server that still runs is known
 * to have ended the response itself.
 */
async function checkEnd(
  witness: Witness,
  {onEndedByConnection, onEnd, onError}: HttpClientEvents,
): Promise<void> {
  // Whether the server still runs is unknown where that cannot be found out.
  const state = await witness.check().catch(() => 'unknown' as const);
  witness.release();
  onEndedByConnection?.(state);
  if (state === 'listens') {
    onEnd();
    return;
  }
  const name = 'Broken';
  onError(new TransportError({name}, 'the server ended with its response'));
}

function wrapError(
  error: NodeJS.ErrnoException,
  isSent: boolean,
): TransportError {
  const {code = ''} = error;
  const sentName = code === OVERFLOW_CODE ? 'Oversized' : 'Broken';
  const unsentName = code === UNSENDABLE_CODE ? 'Unsendable' : 'NeverSent';
  // Other codes do not tell: an open connection can fail with the same ones as one that was never made.
  const name = isSent ? sentName : unsentName;
  return new TransportError(
    {cause: error, name},
    'the request to the backend server failed',
  );
}
