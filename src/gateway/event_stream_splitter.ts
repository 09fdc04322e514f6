/** Cuts a stream of numbered events at event boundaries. */

const BOUNDARY = Buffer.from('\n\n');
const ID_LINE = /^id:[ ]?(\S+)/m;

/** One whole event. */
interface StreamEvent {
  /** To the byte, with the empty line at its end. */
  readonly bytes: Buffer;
  readonly id: string | undefined;
}

/** Yields whole events only, so that a break never passes on a part of one. */
export class EventStreamSplitter {
  private pending: Buffer = Buffer.alloc(0);

  private constructor() {}

  /**
   * Creates a splitter for one answer.
   *
   * @example
   * const splitter = EventSplitter.create();
   * for (const event of splitter.split(chunk)) pass(event.bytes);
   */
  static create(): EventStreamSplitter {
    return new EventStreamSplitter();
  }

  /** Bytes of an event that is not whole yet. */
  get pendingBytes(): number {
    return this.pending.length;
  }

  /** Adds a chunk; returns the events that are whole now. */
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
