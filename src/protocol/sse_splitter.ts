/** Cuts a stream of server-sent events at event boundaries. */

const BOUNDARY = Buffer.from('\n\n');
const END_MARK = Buffer.from('data: [DONE]\n\n');
const LINE_FEED = 10;
const NOT_FOUND = -1;

/** Yields whole events only, so that a break never leaves half an event. */
export class SseSplitter {
  private pending: Buffer = Buffer.alloc(0);
  private hasEndMark = false;

  private constructor() {}

  /**
   * Creates a splitter for one answer.
   *
   * @example
   * const splitter = SseSplitter.create();
   * const events = splitter.split(chunk);
   */
  static create(): SseSplitter {
    return new SseSplitter();
  }

  /** True once the mark of a normal end went through and nothing is left over. */
  get isComplete(): boolean {
    return this.hasEndMark && this.pending.length === 0;
  }

  /** Bytes held back because their event is not whole. */
  get pendingBytes(): number {
    return this.pending.length;
  }

  /** Adds a chunk; returns the whole events so far as one piece, maybe empty. */
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
    const whole = bytes.subarray(0, end);
    this.hasEndMark = isEndMark(whole);
    return whole;
  }
}

/** The last event is the mark itself, not an event whose text ends like it. */
function isEndMark(events: Buffer): boolean {
  const at = events.length - END_MARK.length;
  const isAtLineStart = at === 0 || events[at - 1] === LINE_FEED;
  return at >= 0 && isAtLineStart && events.subarray(at).equals(END_MARK);
}
