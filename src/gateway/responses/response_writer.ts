/** Writes the HTTP response to one caller: a backend server's response, or an error of the gateway. */
import {ServerResponse} from 'node:http';
import {watchResponseClose} from '../../transport/watch_response_close';
import {ResponseHead} from '../response_head';

const MS_PER_SECOND = 1_000;
/** Statuses of responses that have neither a body nor a length. */
const BODYLESS: ReadonlySet<number> = new Set([204, 304]);

/** An error response that the gateway generates itself. */
interface ErrorResponse {
  readonly status: number;
  readonly reason: string;
  /** When the caller may retry; set only for a request that was not executed. */
  readonly retryAfterMs?: number;
}

/** The only writer of one `ServerResponse`. */
export class ResponseWriter {
  private onDrain: (() => void) | undefined;
  private endsWithConnection = false;

  private constructor(
    private readonly response: ServerResponse,
    private readonly requestIdHeader: string,
    private readonly isStopping: () => boolean,
  ) {}

  /**
   * Wraps a response whose headers have not been sent.
   *
   * @param isStopping true while this gateway stops, so that connections are not kept alive
   * @example
   * const writer = ResponseWriter.create(response, 'request-id', () => false);
   */
  static create(
    response: ServerResponse,
    requestIdHeader: string,
    isStopping: () => boolean,
  ): ResponseWriter {
    return new ResponseWriter(response, requestIdHeader, isStopping);
  }

  /** The id that the request names; undefined if it names none. */
  get requestId(): string | undefined {
    return this.response.req.headers[this.requestIdHeader]?.toString();
  }

  /** True once the head is sent and the status can no longer change. */
  get hasSentHead(): boolean {
    return this.response.headersSent;
  }

  /** True once the whole response was handed over. */
  get hasEnded(): boolean {
    return this.response.writableEnded;
  }

  /** True when the caller disconnected before the response was complete. */
  get isDisconnected(): boolean {
    return this.response.destroyed && !this.response.writableFinished;
  }

  /** Calls back once if the caller disconnects before the response is complete. */
  watchDisconnect(callback: () => void): void {
    watchResponseClose(this.response, () => {
      if (!this.response.writableFinished) {
        callback();
      }
    });
  }

  /** Sends the head of a stream, which goes out in chunks however it came. */
  sendHead(head: ResponseHead): void {
    this.prepareConnection();
    // A caller that speaks HTTP/1.0 can read no chunks.
    this.endsWithConnection = !this.response.useChunkedEncodingByDefault;
    this.response.writeHead(head.status, head.headers);
  }

  /** Sends part of a stream; false when the write buffer is full. */
  write(bytes: Buffer): boolean {
    return this.response.write(bytes);
  }

  /** Calls back once when the write buffer has drained; a later callback replaces an earlier one. */
  watchDrain(callback: () => void): void {
    if (!this.onDrain) {
      this.response.once('drain', () => {
        const newest = this.onDrain;
        this.onDrain = undefined;
        newest?.();
      });
    }
    this.onDrain = callback;
  }

  /** Ends a complete stream. */
  end(): void {
    this.response.end();
  }

  /**
   * Sends a complete response of a backend server, with its length: without one, the
   * end of this process could look like the end of the response.
   *
   * @param blocks the body, in parts so that nothing holds it twice
   */
  sendComplete(head: ResponseHead, blocks: readonly Buffer[]): void {
    this.prepareConnection();
    const bytes = blocks.reduce((sum, {length}) => sum + length, 0);
    const length = this.canHaveBody(head)
      ? {'content-length': String(bytes)}
      : {};
    this.response.cork();
    this.response.writeHead(head.status, {...head.headers, ...length});
    blocks.forEach(block => this.response.write(block));
    this.response.end();
  }

  /** Sends an error of the gateway, unless a response was begun or the caller has disconnected. */
  sendError(error: ErrorResponse, requestId: string | undefined): void {
    if (this.response.headersSent || this.response.destroyed) {
      return;
    }
    this.prepareConnection();
    const body = Buffer.from(`${error.reason}\n`);
    const headers: Record<string, string> = {
      'content-type': 'text/plain',
      'content-length': String(body.length),
    };
    if (requestId !== undefined) {
      headers[this.requestIdHeader] = requestId;
    }
    if (error.retryAfterMs !== undefined) {
      headers['retry-after'] = (error.retryAfterMs / MS_PER_SECOND).toFixed(3);
    }
    this.response.writeHead(error.status, headers);
    this.response.end(body);
  }

  /**
   * Destroys the connection, which tells the caller that the response is truncated.
   * A stream without chunks ends when its connection closes in order, so only a TCP
   * reset marks it as truncated.
   */
  cancel(): void {
    if (this.endsWithConnection) {
      this.response.socket?.resetAndDestroy();
    }
    this.response.destroy();
  }

  /** Calls back once when the last byte is sent or the connection has closed. */
  watchClose(callback: () => void): void {
    watchResponseClose(this.response, callback);
  }

  private canHaveBody({status}: ResponseHead): boolean {
    return this.response.req.method !== 'HEAD' && !BODYLESS.has(status);
  }

  private prepareConnection(): void {
    if (this.isStopping()) {
      this.response.shouldKeepAlive = false;
    }
  }
}
