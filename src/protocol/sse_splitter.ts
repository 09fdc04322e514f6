/** Splits a stream of server-sent events at event boundaries. */

const BOUNDARY = Buffer.from('\n\n');
const END_MARKER = Buffer.from('data: [DONE]\n\n');
const LINE_FEED = 10;
const NOT_FOUND = -1;

/** Returns complete events only, so that an interrupted stream never ends within an event. */
export class SseSplitter {
  private pending: Buffer = Buffer.alloc(0);
  private hasEndMarker = false;

  private constructor() {}

  /**
   * Creates a splitter for one response.
   *
   * @example
   * const splitter = SseSplitter.create();
   * const events = splitter.split(chunk);
   */
  static create(): SseSplitter {
    return new SseSplitter();
  }

  /** True after the `[DONE]` event, when no bytes are pending. */
  get isComplete(): boolean {
    return this.hasEndMarker && this.pending.length === 0;
  }

  /** Number of buffered bytes of an incomplete event. */
  get pendingBytes(): number {
    return this.pending.length;
  }

  /** Adds a chunk; returns the events that it completes in one buffer, which may be empty. */
  split(chunk: Buffer): Buffer {
    const bytes =
      this.pending.length === 0 ? chunk : Buffer.concat([this.pending, chunk]);
    const at = bytes.lastIndexOf(BOUNDARY);
    if (at === NOT_FOUND) {
      this.pending = bytes;
      return bytes.subarray(0, 0);
    }
    const end = at + BOUNDARY.length;
    this.pending = bytes.subarray(end);
    const complete = bytes.subarray(0, end);
    this.hasEndMarker = isEndMarker(complete);
    return complete;
  }
}

/** True when the last event is the end marker, and not an event whose text ends with it. */
function isEndMarker(events: Buffer): boolean {
  const at = events.length - END_MARKER.length;
  const isAtLineStart = at === 0 || events[at - 1] === LINE_FEED;
  return at >= 0 && isAtLineStart && events.subarray(at).equals(END_MARKER);
}
