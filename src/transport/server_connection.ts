/** A keep-alive connection to one server that carries one request at a time. */
import {Socket} from 'node:net';
import {Client, Dispatcher, buildConnector} from 'undici';
import {FaultBoundary} from '../common/fault_boundary';
import {runEach} from '../common/run_each';
import {ServerAddress} from '../common/server_address';
import {ConnectionUse} from './connection_use';
import {createConnector} from './create_connector';
import {ExchangeEvents} from './exchange_events';
import {FramingMeter} from './framing_meter';
import {OVERFLOW_CODE} from './overflow_code';
import {ResponseCheck} from './response_check';
import {ResponseDrain} from './response_drain';
import {TransportError} from './transport_error';
import {UNSENDABLE_CODE} from './unsendable_code';

/** Time for a new connection, after which the server counts as unreachable. */
const CONNECT_TIMEOUT_MS = 400;
/** Idle time after which a connection is closed. */
const IDLE_TIMEOUT_MS = 10_000;
/** Connections are closed this long before the server's keep-alive timeout. */
const IDLE_MARGIN_MS = 1_000;

/** The first status of an interim response. */
const INTERIM_STATUS = 100;
/** The first status of a response that is not an interim one. */
const FINAL_STATUS = 200;

/** Requests after which a connection is replaced, which bounds the ids that it remembers. */
const MAX_REQUESTS = 200;

/** Opens its connection with the first request, and again after it was closed. */
export class ServerConnection {
  private readonly client: Client;
  private socket: Socket | undefined;
  private meter: FramingMeter | undefined;
  private check: ResponseCheck | undefined;
  /** Of the request that was written and has not ended. */
  private controller: Dispatcher.DispatchController | undefined;
  private openedAt = 0;
  private readonly carriedIds = new Set<string>();
  private requestCount = 0;
  private isRunning = false;

  private constructor(address: ServerAddress) {
    this.client = new Client(`http://${address}`, {
      // With pipelining, undici would resend the requests queued behind a failed one.
      pipelining: 1,
      maxRequestsPerClient: MAX_REQUESTS,
      connect: this.createConnector(),
      keepAliveTimeout: IDLE_TIMEOUT_MS,
      keepAliveTimeoutThreshold: IDLE_MARGIN_MS,
      headersTimeout: 0,
      bodyTimeout: 0,
    });
  }

  /**
   * Creates a connection that is not open yet.
   *
   * @example
   * const connection = ServerConnection.create(ServerAddress.parse('10.0.0.4:8080'));
   */
  static create(address: ServerAddress): ServerConnection {
    return new ServerConnection(address);
  }

  /** True while it carries a request. */
  get isBusy(): boolean {
    return this.isRunning;
  }

  get isOpen(): boolean {
    return this.socket !== undefined && !this.socket.destroyed;
  }

  /**
   * True if a request with this id was sent on the connection before. A surplus
   * response to it may still arrive there, and its id would not tell that it is
   * not the response to a later one.
   */
  hasCarried(id: string): boolean {
    return this.isOpen && this.carriedIds.has(id);
  }

  /**
   * Sends a request; the connection must not be busy, nor have carried its id.
   *
   * @param id the id that the response must carry
   * @param onFree called once, after the last callback of `events`
   */
  dispatch(
    id: string,
    options: Dispatcher.DispatchOptions,
    events: ExchangeEvents,
    onFree: () => void,
  ): void {
    this.isRunning = true;
    const drain = ResponseDrain.create(() =>
      this.controller?.abort(new Error('the response is not needed')),
    );
    let hasEnded = false;
    const end = (report: () => void) => {
      if (hasEnded) {
        return;
      }
      hasEnded = true;
      const release = () => {
        this.isRunning = false;
        this.controller = undefined;
        drain.end();
        onFree();
      };
      runEach([report, release]).forEach(fault => process.emitWarning(fault));
    };
    // The library emits what a callback throws as an error of its client, beside any request.
    const boundary = FaultBoundary.create(fault => {
      // Aborted first, or a request whose start failed would still be written.
      this.controller?.abort(fault);
      this.socket?.destroy();
      end(() => events.onError(fault));
    });
    const handler: Dispatcher.DispatchHandler = {
      onRequestStart: boundary.wrap(controller => {
        this.controller = controller;
        this.startMeter();
        this.check?.begin(options.method);
        const control = {
          abort: (reason: Error) => controller.abort(reason),
          pause: () => controller.pause(),
          resume: () => controller.resume(),
          drain: () => drain.begin(),
        };
        events.onStart(control, this.recordUse(id));
      }),
      onResponseStart: boundary.wrap((controller, status, headers) => {
        // The client reports each interim response like a head; the head follows.
        const isInterim = status >= INTERIM_STATUS && status < FINAL_STATUS;
        const fault = isInterim ? undefined : this.check?.findHeadFault(status);
        if (fault) {
          controller.abort(createFault(fault));
        } else if (!isInterim) {
          const endsWithConnection = this.check?.endsWithConnection ?? false;
          events.onHead(status, headers, endsWithConnection);
        }
      }),
      onResponseData: boundary.wrap((controller, chunk) => {
        this.meter?.recordBody(chunk.length);
        const fault = this.check?.recordBody(chunk.length);
        if (fault) {
          controller.abort(createFault(fault));
          return;
        }
        events.onData(chunk);
        drain.recordBody(chunk.length);
      }),
      onResponseEnd: boundary.wrap(() =>
        end(() => {
          this.reportEnd(events);
          this.closeIfUnsent();
        }),
      ),
      onResponseError: boundary.wrap((_controller, error) =>
        end(() =>
          events.onError(isDispatching ? markUnsendable(error) : error),
        ),
      ),
    };
    // Connecting takes longer, so that an error within the call is of the request itself.
    let isDispatching = true;
    boundary.run(() => this.client.dispatch(options, handler));
    isDispatching = false;
  }

  /** Closes the connection once its request has ended. */
  retire(): void {
    this.client.close().catch(() => undefined);
  }

  /** Closes the connection at once. */
  async close(): Promise<void> {
    await this.client.destroy();
  }

  /** Reports the end of a response, as an error if it is not whole. */
  private reportEnd(events: ExchangeEvents): void {
    const fault = this.check?.findFault();
    if (fault) {
      this.socket?.destroy();
      events.onError(createFault(fault));
    } else {
      events.onEnd();
    }
  }

  /** Closes the connection if the server answered before the request was sent: the next one would wait behind its rest. */
  private closeIfUnsent(): void {
    if (this.socket && this.socket.writableLength > 0) {
      this.socket.destroy();
    }
  }

  private createConnector(): buildConnector.connector {
    const connect = createConnector(CONNECT_TIMEOUT_MS);
    return (options, callback) => {
      connect(options, (...result) => {
        this.recordOpened(result[1]);
        callback(...result);
      });
    };
  }

  private recordOpened(socket: Socket | null): void {
    this.socket = socket ?? undefined;
    this.meter = undefined;
    this.check = socket ? ResponseCheck.create(socket) : undefined;
    this.openedAt = performance.now();
    this.requestCount = 0;
    this.carriedIds.clear();
  }

  private startMeter(): void {
    if (this.socket) {
      this.meter ??= FramingMeter.create(this.socket, () =>
        this.handleExcess(),
      );
      this.meter.reset();
    }
  }

  /** Ends the connection; an idle one as well, because a server may send without end there too. */
  private handleExcess(): void {
    const error = Object.assign(
      new TransportError('the response has too many bytes besides its body'),
      {code: OVERFLOW_CODE},
    );
    if (this.controller) {
      this.controller.abort(error);
    } else {
      this.socket?.destroy();
    }
  }

  private recordUse(id: string): ConnectionUse {
    this.requestCount += 1;
    this.carriedIds.add(id);
    const ageMs = performance.now() - this.openedAt;
    return {requestCount: this.requestCount, ageMs};
  }
}

function createFault(reason: string): TransportError {
  return new TransportError('no valid response: %s', reason);
}

function markUnsendable(error: Error): Error {
  const marked = new TransportError(error, 'the request cannot be sent');
  return Object.assign(marked, {code: UNSENDABLE_CODE});
}
