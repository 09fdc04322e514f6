/** Reads one HTTP/1 response byte by byte, and tells whether it is valid and where it ends. */
import {findBodyFraming} from './find_body_framing';

const STATUS_LINE = /^HTTP\/1\.([01]) ([1-5][0-9]{2})(?: [\t -~\x80-\xff]*)?$/;
/** Blanks around the value are part of it here: to match them apart takes time that grows with the cube of their number. */
const FIELD_LINE = /^([!#$%&'*+\-.^_`|~0-9A-Za-z]+):([\t -~\x80-\xff]*)$/;
/** Thirteen hexadecimal digits are exact as a number. */
const CHUNK_SIZE_LINE = /^0*([0-9A-Fa-f]{1,13})(?:[ \t]*;[\t -~\x80-\xff]*)?$/;

const FINAL_STATUS = 200;
const SWITCHING_PROTOCOLS = 101;
const LINE_FEED = 10;
const LINE_END = '\r\n';
/** No proper line is as long; the limits for whole heads are lower. */
const MAX_LINE_BYTES = 64 * 1024;

type LineState =
  'status-line' | 'field' | 'chunk-size' | 'chunk-end' | 'trailer';
type State =
  LineState | 'length' | 'chunk' | 'connection' | 'complete' | 'invalid';

/**
 * Accepts only what the grammar of HTTP/1 allows. Parsers differ in what they let pass
 * beside it, from one release to the next: a status of 000, blanks in the name of a
 * field, folded lines, a body with two lengths.
 */
export class ResponseFraming {
  private state: State = 'status-line';
  /** The part of a line that has arrived. */
  private line = '';
  private minorVersion = 1;
  private receivedStatus = 0;
  private lengths: string[] = [];
  private codings: string[] = [];
  /** Of the body or the current chunk; infinite if only the end of the connection ends it. */
  private remainingBytes = 0;
  private receivedBodyBytes = 0;
  private reason: string | undefined;

  /** Each handles a whole line, without its end. */
  private readonly lineHandlers: Record<LineState, (line: string) => void> = {
    'status-line': line => this.readStatusLine(line),
    field: line => (line === '' ? this.endHead() : this.readField(line)),
    'chunk-size': line => this.readChunkSize(line),
    'chunk-end': line =>
      line === ''
        ? (this.state = 'chunk-size')
        : this.fail('a chunk is longer than its size'),
    trailer: line =>
      line === '' ? (this.state = 'complete') : this.readField(line),
  };

  private constructor(private readonly method: string) {}

  /**
   * Creates a reader for the response to a request.
   *
   * @param method of the request; a response to HEAD has no body
   * @example
   * const framing = ResponseFraming.create('GET');
   * framing.read(chunk);
   */
  static create(method: string): ResponseFraming {
    return new ResponseFraming(method);
  }

  /** Why the response is invalid; undefined as long as it is not. */
  get fault(): string | undefined {
    return this.reason;
  }

  /** The status, once the head is whole; interim responses do not count. */
  get status(): number | undefined {
    const isInHead = this.state === 'status-line' || this.state === 'field';
    return isInHead || this.reason ? undefined : this.receivedStatus;
  }

  get bodyBytes(): number {
    return this.receivedBodyBytes;
  }

  /** True once the last byte was read; never for a response that ends with its connection. */
  get isComplete(): boolean {
    return this.state === 'complete';
  }

  /** True if only the end of the connection ends the body. */
  get endsWithConnection(): boolean {
    return this.state === 'connection';
  }

  /** Reads the next bytes; those behind the end of the response are ignored. */
  read(bytes: Buffer): void {
    let at = 0;
    while (at < bytes.length) {
      const {state} = this;
      if (state === 'complete' || state === 'invalid') {
        return;
      }
      if (state === 'length' || state === 'chunk' || state === 'connection') {
        at += this.readBody(bytes.length - at);
      } else {
        at = this.readLine(state, bytes, at);
      }
    }
  }

  /** Returns where the line ends, or the bytes do. */
  private readLine(state: LineState, bytes: Buffer, at: number): number {
    const end = bytes.indexOf(LINE_FEED, at) + 1;
    const until = end === 0 ? bytes.length : end;
    this.line += bytes.toString('latin1', at, until);
    if (this.line.length > MAX_LINE_BYTES) {
      this.fail('a line is too long');
    } else if (end > 0) {
      const {line} = this;
      this.line = '';
      if (line.endsWith(LINE_END)) {
        this.lineHandlers[state](line.slice(0, -LINE_END.length));
      } else {
        this.fail('a line does not end with CR LF');
      }
    }
    return until;
  }

  private readStatusLine(line: string): void {
    // A surplus line end of an earlier response.
    if (line === '') {
      return;
    }
    const [, minorVersion, status] = STATUS_LINE.exec(line) ?? [];
    if (status === undefined) {
      this.fail('the status line is invalid');
      return;
    }
    this.minorVersion = Number(minorVersion);
    this.receivedStatus = Number(status);
    this.lengths = [];
    this.codings = [];
    this.state = 'field';
  }

  private readField(line: string): void {
    const [, name, value] = FIELD_LINE.exec(line) ?? [];
    if (name === undefined) {
      this.fail('a header field is invalid');
      return;
    }
    // Trailers come too late to change the framing.
    if (this.state === 'field') {
      this.recordField(name.toLowerCase(), value);
    }
  }

  private recordField(name: string, value: string): void {
    if (name === 'content-length') {
      this.lengths.push(value);
    } else if (name === 'transfer-encoding') {
      this.codings.push(value);
    }
  }

  private endHead(): void {
    const {method, receivedStatus, minorVersion, lengths, codings} = this;
    const framing = findBodyFraming({
      method,
      status: receivedStatus,
      minorVersion,
      lengths,
      codings,
    });
    if (framing.kind === 'invalid') {
      this.fail(framing.reason);
    } else if (receivedStatus === SWITCHING_PROTOCOLS) {
      this.fail('the server changed the protocol');
    } else if (receivedStatus < FINAL_STATUS) {
      this.state = 'status-line';
    } else if (framing.kind === 'length') {
      this.beginBody('length', framing.bytes);
    } else if (framing.kind === 'chunks') {
      this.state = 'chunk-size';
    } else {
      this.beginBody('connection', Infinity);
    }
  }

  private readChunkSize(line: string): void {
    const [, size] = CHUNK_SIZE_LINE.exec(line) ?? [];
    const bytes = parseInt(size, 16);
    if (size === undefined) {
      this.fail('the size of a chunk is invalid');
    } else if (bytes === 0) {
      this.state = 'trailer';
    } else {
      this.beginBody('chunk', bytes);
    }
  }

  private beginBody(
    state: 'length' | 'chunk' | 'connection',
    bytes: number,
  ): void {
    this.state = state;
    this.remainingBytes = bytes;
    this.endBody();
  }

  /** Returns how many of the bytes belong to the body or chunk. */
  private readBody(availableBytes: number): number {
    const bytes = Math.min(availableBytes, this.remainingBytes);
    this.remainingBytes -= bytes;
    this.receivedBodyBytes += bytes;
    this.endBody();
    return bytes;
  }

  private endBody(): void {
    if (this.remainingBytes === 0) {
      this.state = this.state === 'chunk' ? 'chunk-end' : 'complete';
    }
  }

  private fail(reason: string): void {
    this.reason = reason;
    this.line = '';
    this.state = 'invalid';
  }
}
