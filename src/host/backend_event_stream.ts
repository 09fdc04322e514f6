/** The event stream of a backend server, whose last event is an end marker. */
import {ByteAccumulator} from '../common/byte_accumulator';
import {EventStreamSplitter} from '../protocol/event_stream_splitter';
import {isLineEnd} from '../protocol/is_line_end';

/** Ends an event whose last line is the end marker, and not one whose text ends with it. */
const END_MARKER = /(?:^(?:\xef\xbb\xbf)?|[\r\n])data: ?\[DONE\]$/;
/** More than a marker behind a byte order mark, so that `^` matches only where the event begins. */
const END_MARKER_BYTES = 16;

type StreamEvents = ReturnType<EventStreamSplitter<undefined>['split']>;

/** Returns complete events only, so that an interrupted stream never ends within an event. */
export class BackendEventStream {
  private readonly splitter: EventStreamSplitter<undefined>;
  private hasEndMarker = false;

  private constructor(isContinuation: boolean) {
    this.splitter = EventStreamSplitter.create(ByteAccumulator.create(), {
      isContinuation,
    });
  }

  /**
   * Creates the stream of one response.
   *
   * @param isContinuation true if the caller has events of an earlier attempt
   * @example
   * const stream = BackendEventStream.create(false);
   * const events = stream.split(chunk);
   */
  static create(isContinuation: boolean): BackendEventStream {
    return new BackendEventStream(isContinuation);
  }

  /** True after the `[DONE]` event, when no bytes are pending. */
  get isComplete(): boolean {
    return this.hasEndMarker && this.pendingBytes === 0;
  }

  /** Number of buffered bytes of an incomplete event. */
  get pendingBytes(): number {
    return this.splitter.pendingBytes;
  }

  /** Adds a chunk; returns the events that it completes in one buffer, which may be empty. */
  split(chunk: Buffer): Buffer {
    const events = this.splitter.split(chunk);
    const last = findLastEvent(events);
    if (last) {
      this.hasEndMarker = isEndMarker(last.bytes);
    }
    return events.length === 1
      ? events[0].bytes
      : Buffer.concat(events.map(({bytes}) => bytes));
  }
}

/** Line ends that arrive behind an event are none. */
function findLastEvent(events: StreamEvents): StreamEvents[number] | undefined {
  const last = events.at(-1);
  return last?.isBlank ? events.at(-2) : last;
}

function isEndMarker(event: Buffer): boolean {
  let end = event.length;
  while (isLineEnd(event[end - 1])) {
    end -= 1;
  }
  const start = Math.max(0, end - END_MARKER_BYTES);
  return END_MARKER.test(event.toString('latin1', start, end));
}
