/** Splits a stream of server-sent events at event boundaries. */
import {ByteAccumulator} from '../common/byte_accumulator';

const BOUNDARY = Buffer.from('\n\n');
const END_MARKER = Buffer.from('data: [DONE]\n\n');
const LINE_FEED = 10;
const NOT_FOUND = -1;

/** Returns complete events only, so that an interrupted stream never ends within an event. */
export class SseSplitter {
  private readonly pending = ByteAccumulator.create();
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
    return this.hasEndMarker && this.pending.size === 0;
  }

  /** Number of buffered bytes of an incomplete event. */
  get pendingBytes(): number {
    return this.pending.size;
  }

  /** Adds a chunk; returns the events that it completes in one buffer, which may be empty. */
  split(chunk: Buffer): Buffer {
    const end = this.findLastEnd(chunk);
    const rest = chunk.subarray(end);
    if (end === 0) {
      this.pending.add(rest);
      return chunk.subarray(0, 0);
    }
    let complete = chunk.subarray(0, end);
    if (this.pending.size > 0) {
      this.pending.add(complete);
      complete = this.pending.take();
    }
    this.pending.add(rest);
    this.hasEndMarker = isEndMarker(complete);
    return complete;
  }

  /** Finds where the last event that the chunk completes ends in it; 0 when it completes none. */
  private findLastEnd(chunk: Buffer): number {
    const at = chunk.lastIndexOf(BOUNDARY);
    if (at !== NOT_FOUND) {
      return at + BOUNDARY.length;
    }
    const isSplitBoundary =
      this.pending.last === LINE_FEED && chunk[0] === LINE_FEED;
    return isSplitBoundary ? 1 : 0;
  }
}

/** True when the last event is the end marker, and not an event whose text ends with it. */
function isEndMarker(events: Buffer): boolean {
  const at = events.length - END_MARKER.length;
  const isAtLineStart = at === 0 || events[at - 1] === LINE_FEED;
  return at >= 0 && isAtLineStart && events.subarray(at).equals(END_MARKER);
}
