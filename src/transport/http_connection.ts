/** One connection of a caller: passes its bytes to the HTTP parser one request at a time. */
import * as http from 'node:http';
import * as net from 'node:net';
import {ByteAccumulator} from '../common/byte_accumulator';
import {FaultBoundary} from '../common/fault_boundary';
import {findHeadEnd} from './find_head_end';

/** A chunked body is passed on in pieces of this size, since only the parser knows where it ends. */
const CHUNKED_PIECE_BYTES = 2 * 1024;
const LAST_CHUNK = '0\r\n\r\n';
const END = Buffer.from(LAST_CHUNK);
/** Requests that one piece of a chunked body may end with; a piece holds fewer complete heads of usual size. */
const MAX_QUEUED_REQUESTS = 32;
const NO_BYTES = Buffer.alloc(0);
const CR = 13;
const LF = 10;

type Phase = 'closing' | 'idle' | 'unfinished' | 'answering';
type Exchange = [http.IncomingMessage, http.ServerResponse];

/** What the connections of a listener have in common. */
interface HttpConnectionOptions {
  /** Handles one request; the next one begins after its response has ended. */
  readonly onRequest: (...exchange: Exchange) => void;
  readonly onPhase: (connection: HttpConnection) => void;
  /** An error of this process ended the connection. */
  readonly onFault: (fault: Error) => void;
  /** The bytes that wait here have become more or fewer. */
  readonly onHeld: (connection: HttpConnection) => void;
  readonly readMaxHeadBytes: () => number;
}

/**
 * Passes the bytes of a connection to Node's HTTP parser. The parser takes all that one
 * read returns, up to 64 KiB with thousands of requests, so it gets a single head at a time.
 * Further requests wait as bytes, and each begins in a turn of the event loop of its own.
 */
export class HttpConnection {
  /** An unfinished head; most arrive whole and need none. */
  private head: ByteAccumulator | undefined;
  /** The last two bytes of an unfinished head, which may be a part of its end. */
  private headTail: Buffer = NO_BYTES;
  /** Bytes after the request that is being answered. */
  private ahead: Buffer = NO_BYTES;
  /** The request that was parsed last, until its response is sent and its body has arrived. */
  private message: http.IncomingMessage | undefined;
  private bodyBytesLeft = 0;
  /** The last bytes of a chunked body, which may be a part of its last chunk. */
  private bodyTail: Buffer = NO_BYTES;
  /**
   * The parser has got bytes behind a chunked body, as trailers hide where it ends. They
   * may be a part of the next head, so that from then on it gets all bytes in pieces.
   */
  private isEndUnknown = false;
  private active: http.ServerResponse | undefined;
  private readonly queue: Exchange[] = [];
  private isScheduled = false;
  private currentPhase: Phase = 'idle';
  /** Ends the connection, whose state is unknown after an error. */
  private readonly boundary = FaultBoundary.create(fault => {
    this.socket.destroy();
    this.options.onFault(fault);
  });

  private constructor(
    private readonly socket: net.Socket,
    private readonly options: HttpConnectionOptions,
    /** Node's own listener, which passes bytes to its parser. */
    private readonly parse: (bytes: Buffer) => void,
  ) {}

  /**
   * Takes over the bytes of a connection that an `http.Server` has just accepted.
   *
   * @example
   * server.on('connection', socket => HttpConnection.create(socket, options));
   */
  static create(
    socket: net.Socket,
    options: HttpConnectionOptions,
  ): HttpConnection {
    type Listener = (bytes: Buffer) => void;
    const parsers = socket.listeners('data') as Listener[];
    const connection = new HttpConnection(socket, options, bytes =>
      parsers.forEach(parse => parse(bytes)),
    );
    const {boundary} = connection;
    const receive = (bytes: Buffer) => connection.receive(bytes);
    parsers.forEach(parse => socket.removeListener('data', parse));
    socket.on('data', boundary.wrap(receive));
    // Before Node's listener, which answers an incomplete request.
    const finishHead = boundary.wrap(() => connection.finishHead());
    socket.prependListener('end', finishHead);
    return connection;
  }

  get phase(): Phase {
    return this.currentPhase;
  }

  /** Whether the first bytes of a head have arrived and its last has not. */
  get hasUnfinishedHead(): boolean {
    return this.head !== undefined;
  }

  /** Bytes of a complete response that its caller has not taken. */
  get unreadBytes(): number {
    return this.active?.writableEnded ? this.socket.writableLength : 0;
  }

  /** Bytes that wait here; what the stream has read beyond them is counted twice, as the kernel may hold as much again. */
  get heldBytes(): number {
    const {readableLength} = this.socket;
    const headBytes = this.head?.length ?? 0;
    return headBytes + this.ahead.length + 2 * readableLength;
  }

  /** Adds a request that was parsed. */
  add(...exchange: Exchange): void {
    const [message] = exchange;
    this.message = message;
    this.bodyBytesLeft = Number(message.headers['content-length'] ?? 0);
    this.queue.push(exchange);
  }

  /** Closes the connection at once. */
  close(): void {
    this.socket.destroy();
  }

  /** Answers an unfinished head with an error and closes the connection. */
  reject(status: 408 | 431 | 503): void {
    const {socket} = this;
    this.dropHeld();
    this.setPhase('closing');
    const reason = http.STATUS_CODES[status];
    // Later bytes are still read and dropped: closing with unread bytes would reset the connection.
    socket.end(
      `HTTP/1.1 ${status} ${reason}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`,
    );
  }

  private receive(bytes: Buffer): void {
    if (this.currentPhase === 'closing') {
      return;
    }
    if (this.ahead.length > 0 || this.isScheduled) {
      this.deferBytes(Buffer.concat([this.ahead, bytes]));
      return;
    }
    this.forward(bytes);
    this.updatePhase();
  }

  /** Passes on the rest of the current body and at most one head; defers what follows. */
  private forward(bytes: Buffer): void {
    const {socket} = this;
    let rest = bytes;
    let hasParsedHead = false;
    while (rest.length > 0 && !socket.destroyed) {
      if (this.isReceivingBody) {
        const length = this.computePieceLength(rest);
        this.bodyBytesLeft -= length;
        this.parseBodyPiece(rest.subarray(0, length));
        rest = rest.subarray(length);
        continue;
      }
      if (this.isEndUnknown && !this.active && this.queue.length === 0) {
        this.parsePiece(rest.subarray(0, CHUNKED_PIECE_BYTES));
        rest = rest.subarray(CHUNKED_PIECE_BYTES);
        continue;
      }
      rest = this.head || this.isEndUnknown ? rest : dropLineEnds(rest);
      if (rest.length === 0) {
        break;
      }
      if (this.active || this.queue.length > 0 || hasParsedHead) {
        this.deferBytes(rest);
        return;
      }
      const taken = this.takeHead(rest);
      if (taken < 0) {
        return;
      }
      hasParsedHead = true;
      rest = rest.subarray(taken);
    }
  }

  /** Parses a head that is complete with these bytes and returns how many of them it took, or -1. */
  private takeHead(bytes: Buffer): number {
    const end = findHeadEnd(this.headTail, bytes);
    const added = end < 0 ? bytes.length : end;
    const headBytes = (this.head?.length ?? 0) + added;
    if (headBytes > this.options.readMaxHeadBytes()) {
      this.reject(431);
      return -1;
    }
    if (end < 0) {
      this.head ??= ByteAccumulator.create();
      this.head.add(bytes);
      const last = Buffer.concat([this.headTail, bytes.subarray(-2)]);
      this.headTail = last.subarray(-2);
      this.options.onHeld(this);
      return -1;
    }
    const last = bytes.subarray(0, end);
    if (!this.head) {
      this.parsePiece(last);
      return end;
    }
    this.head.add(last);
    const head = this.head.take();
    this.clearHead();
    this.options.onHeld(this);
    this.parsePiece(head);
    return end;
  }

  private get isReceivingBody(): boolean {
    return this.message !== undefined && !this.message.complete;
  }

  private computePieceLength(rest: Buffer): number {
    if (this.bodyBytesLeft > 0) {
      return Math.min(rest.length, this.bodyBytesLeft);
    }
    const piece = rest.subarray(0, CHUNKED_PIECE_BYTES);
    const {bodyTail} = this;
    // The last bytes before may be the beginning of the last chunk.
    const at = Buffer.concat([bodyTail, piece]).indexOf(LAST_CHUNK);
    return at < 0 ? piece.length : at + LAST_CHUNK.length - bodyTail.length;
  }

  /** Parses a part of a body, and finds out whether the parser has got bytes behind it as well. */
  private parseBodyPiece(piece: Buffer): void {
    const {message} = this;
    const seen = Buffer.concat([this.bodyTail, piece]);
    const isExact =
      this.bodyBytesLeft > 0 || seen.subarray(-LAST_CHUNK.length).equals(END);
    const isChunked = message?.headers['transfer-encoding'] !== undefined;
    this.parsePiece(piece);
    const hasEnded = message?.complete ?? true;
    this.bodyTail = hasEnded ? NO_BYTES : seen.subarray(1 - END.length);
    this.isEndUnknown ||= isChunked && hasEnded && !isExact;
  }

  /** Handlers begin after the parser has returned, since it must not pause for their responses. */
  private parsePiece(bytes: Buffer): void {
    const {socket} = this;
    if (socket.writableNeedDrain && !this.active) {
      // Node's parser asserts that no response waits when it is given a head.
      socket.destroy();
      return;
    }
    this.parse(bytes);
    if (this.queue.length > MAX_QUEUED_REQUESTS) {
      socket.destroy();
      return;
    }
    if (!this.active) {
      this.beginNext();
    }
  }

  private beginNext(): void {
    const exchange = this.queue.shift();
    if (!exchange || this.socket.destroyed) {
      return;
    }
    const [, response] = exchange;
    this.active = response;
    response.once(
      'close',
      this.boundary.wrap(() => this.endActive()),
    );
    this.options.onRequest(...exchange);
  }

  private endActive(): void {
    this.active = undefined;
    if (this.socket.writable) {
      this.updatePhase();
      this.scheduleNext();
      return;
    }
    // The connection closes after this response.
    this.dropHeld();
    this.setPhase('closing');
  }

  private scheduleNext(): void {
    const isWaiting = this.queue.length > 0 || this.ahead.length > 0;
    if (this.isScheduled || !isWaiting) {
      return;
    }
    this.isScheduled = true;
    setImmediate(
      this.boundary.wrap(() => {
        this.isScheduled = false;
        if (!this.socket.destroyed && this.currentPhase !== 'closing') {
          this.advance();
        }
      }),
    );
  }

  private advance(): void {
    if (this.queue.length > 0) {
      this.beginNext();
      this.updatePhase();
      // The request that was begun may wait for the rest of its body.
      if (!this.isReceivingBody) {
        return;
      }
    }
    const bytes = this.ahead;
    this.ahead = NO_BYTES;
    this.forward(bytes);
    if (this.ahead.length === 0) {
      this.socket.resume();
    }
    this.options.onHeld(this);
    this.updatePhase();
  }

  private deferBytes(bytes: Buffer): void {
    this.ahead = bytes;
    this.socket.pause();
    this.options.onHeld(this);
    if (!this.active) {
      this.scheduleNext();
    }
  }

  private finishHead(): void {
    const head = this.head?.take();
    if (head) {
      this.clearHead();
      this.options.onHeld(this);
      this.parsePiece(head);
    }
  }

  private clearHead(): void {
    this.head = undefined;
    this.headTail = NO_BYTES;
  }

  private dropHeld(): void {
    this.clearHead();
    this.queue.length = 0;
    this.ahead = NO_BYTES;
    this.options.onHeld(this);
    this.socket.resume();
  }

  private updatePhase(): void {
    if (this.currentPhase === 'closing') {
      return;
    }
    if (this.head || this.isReceivingBody) {
      this.setPhase('unfinished');
      return;
    }
    const isAnswering = this.active !== undefined || this.queue.length > 0;
    if (!isAnswering) {
      this.message = undefined;
    }
    this.setPhase(isAnswering ? 'answering' : 'idle');
  }

  private setPhase(phase: Phase): void {
    if (phase !== this.currentPhase) {
      this.currentPhase = phase;
      this.options.onPhase(this);
    }
  }
}

/** Empty lines before a request are ignored. */
function dropLineEnds(bytes: Buffer): Buffer {
  let at = 0;
  while (bytes[at] === CR || bytes[at] === LF) {
    at += 1;
  }
  return bytes.subarray(at);
}
