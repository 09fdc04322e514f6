/** Splits a stream of server-sent events where its events end: at an empty line, with any line ends. */
import {isLineEnd} from './is_line_end';
import {readEventFields} from './read_event_fields';

const LINE_FEED = 10;
const CARRIAGE_RETURN = 13;
/** Belongs to the stream and not to its first line. */
const BYTE_ORDER_MARK = Buffer.from([0xef, 0xbb, 0xbf]);

/** Holds an event that is not complete; `Failure` says why bytes cannot be held. */
interface EventBuffer<Failure> {
  readonly length: number;
  /** The byte that was added last; undefined if there is none. */
  readonly lastByte: number | undefined;
  readonly add: (piece: Buffer) => Failure | undefined;
  /** Returns all bytes, joined, and empties the buffer. */
  readonly take: () => Buffer;
}

interface EventStreamOptions {
  /** True if the caller has events from before: a byte order mark is dropped, as it would spoil a field there. */
  readonly isContinuation?: boolean;
}

/** One complete event, with the empty lines that arrived with it. */
interface StreamEvent extends ReturnType<typeof readEventFields> {
  /** The unchanged bytes, including the line ends behind the event. */
  readonly bytes: Buffer;
  /** True for line ends alone, which are passed on but are no event. */
  readonly isBlank: boolean;
}

/** Yields complete events only, so that a broken connection never forwards part of one. */
export class EventStreamSplitter<Failure> {
  private heldFailure: Failure | undefined;
  private canBeginWithMark = true;
  /** Bytes of the byte order mark that are pending. */
  private markBytes = 0;

  private constructor(
    private readonly pending: EventBuffer<Failure>,
    private readonly options: EventStreamOptions,
  ) {}

  /**
   * Creates a splitter for one response.
   *
   * @param pending an empty buffer, which bounds what is held
   * @example
   * const splitter = EventStreamSplitter.create(ByteAccumulator.create());
   * for (const event of splitter.split(chunk)) write(event.bytes);
   */
  static create<Failure>(
    pending: EventBuffer<Failure>,
    options: EventStreamOptions = {},
  ): EventStreamSplitter<Failure> {
    return new EventStreamSplitter(pending, options);
  }

  /** Number of buffered bytes that belong to an incomplete event. */
  get pendingBytes(): number {
    const markBytes = this.canBeginWithMark ? 0 : this.markBytes;
    return this.pending.length - markBytes;
  }

  /** Why an event cannot be held, after which the stream cannot be continued; undefined if none was denied. */
  get failure(): Failure | undefined {
    return this.heldFailure;
  }

  /**
   * Adds a chunk; returns the events that it completes. Each byte is searched and
   * copied once, however many chunks an event takes.
   */
  split(chunk: Buffer): StreamEvent[] {
    const events: StreamEvent[] = [];
    let start = this.canBeginWithMark ? this.addMark(chunk) : 0;
    while (!this.heldFailure && start < chunk.length) {
      const isBlank = this.isBetweenEvents && isLineEnd(chunk[start]);
      const end = isBlank
        ? findContent(chunk, start)
        : this.findEnd(chunk, start);
      const part = chunk.subarray(start, end);
      if (end === undefined) {
        this.addPending(part);
        break;
      }
      if (this.pending.length === 0) {
        events.push(createEvent(part, 0, isBlank));
      } else if (this.addPending(part)) {
        const bytes = this.pending.take();
        events.push(createEvent(bytes, this.markBytes, isBlank));
        this.markBytes = 0;
      }
      start = end;
    }
    return events;
  }

  /** Adds what the chunk has of a byte order mark at the start of the stream; returns where the rest begins. */
  private addMark(chunk: Buffer): number {
    let at = 0;
    while (at < chunk.length && chunk[at] === BYTE_ORDER_MARK[this.markBytes]) {
      at += 1;
      this.markBytes += 1;
    }
    const hasMark = this.markBytes === BYTE_ORDER_MARK.length;
    this.addPending(chunk.subarray(0, at));
    this.canBeginWithMark = !hasMark && at === chunk.length;
    if (hasMark && this.options.isContinuation) {
      this.pending.take();
    }
    if (!this.canBeginWithMark) {
      this.markBytes = hasMark ? this.pending.length : 0;
    }
    return at;
  }

  /**
   * Line ends here are passed on as they come: the first one may be the second half
   * of a CR LF, whose CR has already ended an event.
   */
  private get isBetweenEvents(): boolean {
    return this.pending.length === this.markBytes;
  }

  /** Finds the end of the event that continues at `start`, with the line ends behind it. */
  private findEnd(chunk: Buffer, start: number): number | undefined {
    let previous = this.pending.lastByte;
    for (let at = start; at < chunk.length; at += 1) {
      const byte = chunk[at];
      if (isLineEnd(byte) && isEmptyLine(previous, byte)) {
        return findContent(chunk, at);
      }
      previous = byte;
    }
    return undefined;
  }

  private addPending(part: Buffer): boolean {
    if (part.length > 0) {
      this.heldFailure = this.pending.add(part);
    }
    return !this.heldFailure;
  }
}

function createEvent(
  bytes: Buffer,
  start: number,
  isBlank: boolean,
): StreamEvent {
  return {bytes, isBlank, ...readEventFields(bytes, start)};
}

/** True if a line end stands at the start of a line; an LF behind a CR belongs to the same line end. */
function isEmptyLine(previous: number | undefined, lineEnd: number): boolean {
  return (
    previous === LINE_FEED ||
    (previous === CARRIAGE_RETURN && lineEnd === CARRIAGE_RETURN)
  );
}

/** Finds the first byte at or after `start` that is no line end. */
function findContent(chunk: Buffer, start: number): number {
  let at = start;
  while (at < chunk.length && isLineEnd(chunk[at])) {
    at += 1;
  }
  return at;
}
