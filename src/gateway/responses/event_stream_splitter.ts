/** Splits a stream of server-sent events at event boundaries. */
import {MAX_HELD_BYTES} from './max_held_bytes';
import {ResponseBuffer} from './response_buffer';
import {ResponseMemory} from './response_memory';

type MemoryShare = ReturnType<ResponseMemory['createShare']>;

const BOUNDARY = Buffer.from('\n\n');
const [LINE_END] = BOUNDARY;
const ID_FIELD = Buffer.from('id:');
const NEXT_ID_FIELD = Buffer.from('\nid:');
/** A comment, an empty line, and the fields that are neither data nor an id. */
const DATALESS_LINES = [':', '\n', 'event', 'retry'].map(each =>
  Buffer.from(each),
);
const NEXT_DATA_FIELD = Buffer.from('\ndata');
const ID_LINE = /^id:[ ]?(\S+)/;
/** Half of what a request may hold, because an event that came in pieces is joined before it is forwarded. */
const MAX_EVENT_BYTES = MAX_HELD_BYTES / 2;

/** One complete event. */
interface StreamEvent {
  /** The unchanged bytes, including the empty line at the end. */
  readonly bytes: Buffer;
  readonly id: string | undefined;
  /** False for comments and the like, which carry nothing of a run. */
  readonly hasData: boolean;
}

/** Yields complete events only, so that a broken connection never forwards part of one. */
export class EventStreamSplitter {
  private readonly pending: ResponseBuffer;
  private heldFailure: ReturnType<ResponseBuffer['add']>;

  private constructor(share: MemoryShare) {
    this.pending = ResponseBuffer.create(MAX_EVENT_BYTES, share);
  }

  /**
   * Creates a splitter for one response.
   *
   * @example
   * const splitter = EventStreamSplitter.create(memory.createShare(options));
   * for (const event of splitter.split(chunk)) write(event.bytes);
   */
  static create(share: MemoryShare): EventStreamSplitter {
    return new EventStreamSplitter(share);
  }

  /** Number of buffered bytes that belong to an incomplete event. */
  get pendingBytes(): number {
    return this.pending.length;
  }

  /** Why an event cannot be held, after which the stream cannot be continued; undefined if none was denied. */
  get failure(): ReturnType<ResponseBuffer['add']> {
    return this.heldFailure;
  }

  /**
   * Adds a chunk; returns the events that it completes. Each byte is searched and
   * copied once, however many chunks an event takes.
   */
  split(chunk: Buffer): StreamEvent[] {
    const events: StreamEvent[] = [];
    let start = 0;
    while (!this.heldFailure && start < chunk.length) {
      const end = this.findEnd(chunk, start);
      const part = chunk.subarray(start, end);
      if (end === undefined) {
        this.addPending(part);
        break;
      }
      if (this.pending.length === 0) {
        events.push(createEvent(part));
      } else if (this.addPending(part)) {
        events.push(createEvent(Buffer.concat(this.pending.takeBlocks())));
      }
      start = end;
    }
    return events;
  }

  /** Finds the end of the event that continues at `start`; its boundary may begin in what is pending. */
  private findEnd(chunk: Buffer, start: number): number | undefined {
    if (this.pending.lastByte === LINE_END && chunk[start] === LINE_END) {
      return start + 1;
    }
    const at = chunk.indexOf(BOUNDARY, start);
    return at < 0 ? undefined : at + BOUNDARY.length;
  }

  private addPending(part: Buffer): boolean {
    this.heldFailure = this.pending.add(part);
    return !this.heldFailure;
  }
}

function createEvent(bytes: Buffer): StreamEvent {
  const id = findId(bytes);
  // An event with an id marks a position whether it has data or not.
  return {bytes, id, hasData: id !== undefined || hasDataLine(bytes)};
}

/** Looks for data only behind a first line that is known to have none, as most events without an id begin with it. */
function hasDataLine(bytes: Buffer): boolean {
  const beginsWithout = DATALESS_LINES.some(line =>
    bytes.subarray(0, line.length).equals(line),
  );
  return !beginsWithout || bytes.includes(NEXT_DATA_FIELD);
}

/** Finds the id: of several the last one counts. Decodes only the lines that may have one. */
function findId(bytes: Buffer): string | undefined {
  let at = bytes.lastIndexOf(NEXT_ID_FIELD);
  while (at >= 0) {
    const id = decodeId(bytes, at + 1);
    if (id !== undefined) {
      return id;
    }
    at = at === 0 ? -1 : bytes.lastIndexOf(NEXT_ID_FIELD, at - 1);
  }
  return decodeId(bytes, 0);
}

/** Decodes the id of the line that begins at `start`; undefined if it has none. */
function decodeId(bytes: Buffer, start: number): string | undefined {
  if (!bytes.subarray(start, start + ID_FIELD.length).equals(ID_FIELD)) {
    return undefined;
  }
  const end = bytes.indexOf(LINE_END, start);
  return ID_LINE.exec(bytes.toString('latin1', start, end))?.[1];
}
