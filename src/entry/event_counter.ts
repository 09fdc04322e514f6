/** Counts the events of a response, without holding any of it. */
import {EventStreamSplitter} from '../protocol/event_stream_splitter';

/** Keeps of an incomplete event what tells where it ends. */
class DiscardedBytes {
  length = 0;
  lastByte: number | undefined;

  add(piece: Buffer): undefined {
    this.length += piece.length;
    this.lastByte = piece.at(-1);
  }

  take(): Buffer {
    this.length = 0;
    this.lastByte = undefined;
    return Buffer.alloc(0);
  }
}

/** Counts complete events as the event stream format says, whatever their line ends. */
export class EventCounter {
  private readonly splitter = EventStreamSplitter.create<undefined>(
    new DiscardedBytes(),
  );
  private eventCount = 0;

  private constructor() {}

  /**
   * Creates a counter at the start of a stream.
   *
   * @example
   * const counter = EventCounter.create();
   * counter.add(bytes);
   */
  static create(): EventCounter {
    return new EventCounter();
  }

  /** Number of complete events that reach a reader: those with data. Comments and empty lines are none. */
  get count(): number {
    return this.eventCount;
  }

  /** Adds bytes of the stream. */
  add(bytes: Uint8Array): void {
    const {buffer, byteOffset, length} = bytes;
    const events = this.splitter.split(Buffer.from(buffer, byteOffset, length));
    this.eventCount += events.filter(({hasData}) => hasData).length;
  }
}
