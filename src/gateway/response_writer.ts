/** Writes one answer to one caller: a backend server's own, or a refusal. */
import {ServerResponse} from 'node:http';
import {ResponseHead} from './response_head';

const MS_PER_SECOND = 1_000;

/** An answer of the gateway itself. */
interface OwnAnswer {
  readonly status: number;
  readonly reason: string;
  /** When the caller may try again; only where nothing has run. */
  readonly retryAfterMs?: number;
}

/** Everything that leaves on one response. */
export class ResponseWriter {
  private onRoom: (() => void) | undefined;
  private isUnframed = false;

  private constructor(
    private readonly response: ServerResponse,
    private readonly requestIdHeader: string,
    private readonly isLeaving: () => boolean,
  ) {}

  /**
   * Wraps a response whose headers were not sent.
   *
   * @param isLeaving true while this gateway stops, so that connections end
   * @example
   * const answer = CallerAnswer.create(response, 'request-id', () => false);
   */
  static create(
    response: ServerResponse,
    requestIdHeader: string,
    isLeaving: () => boolean,
  ): ResponseWriter {
    return new ResponseWriter(response, requestIdHeader, isLeaving);
  }

  /** The head has left: the status cannot change any more. */
  get hasBegun(): boolean {
    return this.response.headersSent;
  }

  /** The caller went away before the end. */
  get isGone(): boolean {
    return this.response.destroyed && !this.response.writableFinished;
  }

  /** Calls back once if the caller goes away before the end. */
  watchGone(callback: () => void): void {
    this.response.once('close', () => {
      if (!this.response.writableFinished) {
        callback();
      }
    });
  }

  /** Sends the head of a stream. */
  begin(head: ResponseHead): void {
    this.prepareConnection();
    this.leaveUnframed(head);
    this.response.writeHead(head.status, head.headers);
  }

  /** Sends one part of a stream; false when the caller does not keep up. */
  write(bytes: Buffer): boolean {
    return this.response.write(bytes);
  }

  /** Calls back once when the caller has taken what was sent; the newest is told. */
  watchRoom(callback: () => void): void {
    if (!this.onRoom) {
      this.response.once('drain', () => {
        const told = this.onRoom;
        this.onRoom = undefined;
        told?.();
      });
    }
    this.onRoom = callback;
  }

  /** Ends a stream that is whole. */
  end(): void {
    this.response.end();
  }

  /** Sends a whole answer of a backend server. */
  sendWhole(head: ResponseHead, body: Buffer): void {
    this.prepareConnection();
    this.leaveUnframed(head);
    const length = {'content-length': String(body.length)};
    const added = head.isFramed ? length : {};
    this.response.writeHead(head.status, {...head.headers, ...added});
    this.response.end(body);
  }

  /** Sends an answer of the gateway itself. */
  sendOwn(answer: OwnAnswer, requestId: string | undefined): void {
    if (this.response.headersSent || this.response.destroyed) {
      return;
    }
    this.prepareConnection();
    const body = Buffer.from(`${answer.reason}\n`);
    const headers: Record<string, string> = {
      'content-type': 'text/plain',
      'content-length': String(body.length),
    };
    if (requestId !== undefined) {
      headers[this.requestIdHeader] = requestId;
    }
    if (answer.retryAfterMs !== undefined) {
      headers['retry-after'] = (answer.retryAfterMs / MS_PER_SECOND).toFixed(3);
    }
    this.response.writeHead(answer.status, headers);
    this.response.end(body);
  }

  /**
   * Breaks an answer off: nothing else tells the caller that it is not whole. One
   * without a length or chunks ends with its connection, so only a reset tells.
   */
  breakOff(): void {
    if (this.isUnframed) {
      this.response.socket?.resetAndDestroy();
    }
    this.response.destroy();
  }

  /** Calls back once when its last byte has left, or nothing more can. */
  watchEnd(callback: () => void): void {
    this.response.once('close', callback);
  }

  /** What may not be whole is not given an end that says that it is. */
  private leaveUnframed(head: ResponseHead): void {
    if (!head.isFramed) {
      this.isUnframed = true;
      this.response.useChunkedEncodingByDefault = false;
      this.response.shouldKeepAlive = false;
    }
  }

  private prepareConnection(): void {
    if (this.isLeaving()) {
      this.response.shouldKeepAlive = false;
    }
  }
}
