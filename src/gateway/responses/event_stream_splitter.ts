/** Splits a stream of server-sent events at event boundaries. */

const BOUNDARY = Buffer.from('\n\n');
const ID_LINE = /^id:[ ]?(\S+)/m;

/** One complete event. */
interface StreamEvent {
  /** The unchanged bytes, including the empty line at the end. */
  readonly bytes: Buffer;
  readonly id: string | undefined;
}

/** Yields complete events only, so that a broken connection never forwards part of one. */
export class EventStreamSplitter {
  private pending: Buffer = Buffer.alloc(0);

  private constructor() {}

  /**
   * Creates a splitter for one response.
   *
   * @example
   * const splitter = EventStreamSplitter.create();
   * for (const event of splitter.split(chunk)) write(event.bytes);
   */
  static create(): EventStreamSplitter {
    return new EventStreamSplitter();
  }

  /** Number of buffered bytes that belong to an incomplete event. */
  get pendingBytes(): number {
    return this.pending.length;
  }

  /** Adds a chunk; returns the events that it completes. */
  split(chunk: Buffer): StreamEvent[] {
    const bytes =
      this.pending.length === 0 ? chunk : Buffer.concat([this.pending, chunk]);
    const events: StreamEvent[] = [];
    let start = 0;
    for (;;) {
      const at = bytes.indexOf(BOUNDARY, start);
      if (at < 0) {
        break;
      }
      const end = at + BOUNDARY.length;
      const event = bytes.subarray(start, end);
      const id = ID_LINE.exec(event.toString('latin1'))?.[1];
      events.push({bytes: event, id});
      start = end;
    }
    this.pending = bytes.subarray(start);
    return events;
  }
}
