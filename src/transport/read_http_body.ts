import {IncomingMessage, ServerResponse} from 'node:http';
import {BlockBuffer} from '../common/block_buffer';
import {FaultBoundary} from '../common/fault_boundary';
import {BodyBudget} from './body_budget';
import {TransportError} from './transport_error';
import {watchResponseClose} from './watch_response_close';

/** Proper callers send without pauses; a lost packet is sent again within seconds. */
const DEFAULT_STALL_MS = 10_000;
/**
 * How long a refused body is read on, and how much of it. Closing a connection with
 * unread bytes resets it, and the caller might not see the refusal.
 */
const DEFAULT_DISCARD_MS = 2_000;
const DISCARD_BYTES = 16 * 1024 * 1024;

interface BodyOptions {
  readonly maxBytes: number;
  /** Shared by all bodies of the process. */
  readonly budget: BodyBudget;
  /** Time without a byte after which an unfinished body is refused. */
  readonly stallMs?: number;
  /** Time for the refusal of an unfinished body to reach the caller, after which its connection closes. */
  readonly discardMs?: number;
}

interface BodyReceiver {
  readonly resolve: (body: Buffer) => void;
  readonly reject: (error: TransportError) => void;
}

/**
 * Reads a whole HTTP body. It counts in the budget until the response is sent or
 * the connection has closed. A body that is refused is discarded while the caller
 * reads the refusal, for a bounded time, after which the connection closes.
 *
 * @throws TransportError named `TooLarge` when the body exceeds the limit, `NoRoom`
 * when the budget is spent, `TooSlow` when it stops arriving, or `Fault` after an error of
 * this process
 * @example
 * const body = await readHttpBody(request, response, {maxBytes: 1024 * 1024, budget});
 */
export function readHttpBody(
  request: IncomingMessage,
  response: ServerResponse,
  options: BodyOptions,
): Promise<Buffer> {
  return new Promise((resolve, reject) => {
    new BodyReader(request, response, options, {resolve, reject}).start();
  });
}

/** One body, from its head until its request has ended. */
class BodyReader {
  private readonly buffer: BlockBuffer;
  private state: 'receiving' | 'whole' | 'refused' = 'receiving';
  private discardedBytes = 0;
  private timer: NodeJS.Timeout | undefined;
  private readonly boundary = FaultBoundary.create(fault => {
    clearTimeout(this.timer);
    const name = 'Fault';
    this.receiver.reject(
      new TransportError({name, cause: fault}, 'the body could not be read'),
    );
  });

  constructor(
    private readonly request: IncomingMessage,
    private readonly response: ServerResponse,
    private readonly options: BodyOptions,
    private readonly receiver: BodyReceiver,
  ) {
    const share = options.budget.createShare({
      isWhole: () => this.state === 'whole',
      // Called by the body that gets the room.
      onEvicted: this.boundary.wrap(() => this.rejectForRoom()),
    });
    this.buffer = BlockBuffer.create(share);
  }

  start(): void {
    const {request, options, boundary} = this;
    const {headers} = request;
    request.once('data', () =>
      watchResponseClose(
        this.response,
        boundary.wrap(() => this.close()),
      ),
    );
    request.on(
      'data',
      boundary.wrap((piece: Buffer) => this.handleData(piece)),
    );
    request.once(
      'end',
      boundary.wrap(() => this.handleEnd()),
    );
    request.once(
      'error',
      boundary.wrap((error: Error) => this.handleError(error)),
    );
    if (Number(headers['content-length'] ?? 0) > options.maxBytes) {
      this.rejectForLength();
      return;
    }
    this.timer = setTimeout(
      boundary.wrap(() => this.rejectForPause()),
      options.stallMs ?? DEFAULT_STALL_MS,
    );
  }

  private handleData(piece: Buffer): void {
    if (this.state === 'refused') {
      this.drop(piece);
      return;
    }
    this.timer?.refresh();
    if (this.buffer.length + piece.length > this.options.maxBytes) {
      this.rejectForLength();
    } else if (!this.buffer.add(piece)) {
      this.rejectForRoom();
    }
  }

  private handleEnd(): void {
    clearTimeout(this.timer);
    if (this.state === 'refused') {
      return;
    }
    this.state = 'whole';
    this.receiver.resolve(this.buffer.takeJoined());
  }

  private handleError(error: Error): void {
    this.close();
    this.receiver.reject(new TransportError(error, 'the body broke off'));
  }

  /** Gives back what is held; a refused body is still dropped for its time. */
  private close(): void {
    if (this.state !== 'refused') {
      clearTimeout(this.timer);
    }
    this.buffer.clear();
  }

  private rejectForLength(): void {
    const {maxBytes} = this.options;
    const name = 'TooLarge';
    this.reject(
      new TransportError({name}, 'the body is over %d bytes', maxBytes),
    );
  }

  private rejectForRoom(): void {
    const name = 'NoRoom';
    this.reject(
      new TransportError({name}, 'there is no memory for more request bodies'),
    );
  }

  private rejectForPause(): void {
    const {stallMs = DEFAULT_STALL_MS} = this.options;
    const name = 'TooSlow';
    this.reject(
      new TransportError({name}, 'none of the body came for %d ms', stallMs),
    );
  }

  private reject(error: TransportError): void {
    if (this.state === 'refused') {
      return;
    }
    this.close();
    this.state = 'refused';
    this.receiver.reject(error);
    if (!this.request.complete) {
      this.delayEnd();
    }
  }

  /** Keeps the connection for a while: Node would close it right after the refusal if the caller wants no other response. */
  private delayEnd(): void {
    const {request, response, options} = this;
    const {socket} = request;
    if (!response.shouldKeepAlive) {
      response.shouldKeepAlive = true;
      request.once('end', () => socket.end());
    }
    this.timer = setTimeout(
      () => socket.destroy(),
      options.discardMs ?? DEFAULT_DISCARD_MS,
    );
  }

  /** Stops reading beyond the limit, and leaves the caller the rest of the time. */
  private drop({length}: Buffer): void {
    this.discardedBytes += length;
    if (this.discardedBytes > DISCARD_BYTES) {
      this.request.pause();
    }
  }
}
