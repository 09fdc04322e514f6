/** Passes on what backend servers answer: streams event by event, everything else as a whole. */
import {ResponseHead} from './response_head';
import {ResponseWriter} from './response_writer';
import {EventStreamSplitter} from './event_stream_splitter';
import {BufferedBody} from './buffered_body';

/** What a relay works with. */
interface AnswerRelayOptions {
  readonly answer: ResponseWriter;
  /** The last event that the caller had before. */
  readonly lastEventId: string | undefined;
  /** Told of each event that was passed on; false when the caller does not keep up. */
  readonly onPassed: (hasRoom: boolean) => void;
}

/** One answer, made from what one or several runs bring. */
export class ResponseRelay {
  private firstHead: ResponseHead | undefined;
  private splitter = EventStreamSplitter.create();
  private held = BufferedBody.create();
  private newestEventId: string | undefined;

  private constructor(private readonly options: AnswerRelayOptions) {
    this.newestEventId = options.lastEventId;
  }

  /**
   * Creates a relay that nothing came through.
   *
   * @example
   * const relay = AnswerRelay.create({answer, lastEventId, onPassed});
   */
  static create(options: AnswerRelayOptions): ResponseRelay {
    return new ResponseRelay(options);
  }

  /** The head that the caller gets. */
  get head(): ResponseHead | undefined {
    return this.firstHead;
  }

  /** The last event that the caller has. */
  get lastEventId(): string | undefined {
    return this.newestEventId;
  }

  /** The stream stopped within an event. */
  get isWithinEvent(): boolean {
    return this.splitter.pendingBytes > 0;
  }

  /** Drops what a run left unfinished: another one begins. */
  reset(): void {
    this.splitter = EventStreamSplitter.create();
    this.held = BufferedBody.create();
  }

  /** Takes the head of a run; tells why it does not fit what the caller has. */
  acceptHead(head: ResponseHead): string | undefined {
    const {answer} = this.options;
    if (answer.hasBegun && !(head.isEventStream && head.isFramed)) {
      return `status ${head.status} in place of the rest`;
    }
    // A resumed stream keeps the head of its first backend server.
    if (!answer.hasBegun) {
      this.firstHead = head;
    }
    return undefined;
  }

  /** Takes part of a body; tells why it cannot be passed on. */
  acceptData(chunk: Buffer): string | undefined {
    if (this.firstHead?.isEventStream) {
      this.splitter
        .split(chunk)
        .forEach(event => this.passEvent(event.bytes, event.id));
      return undefined;
    }
    return this.held.add(chunk) ? undefined : 'the answer is too large to hold';
  }

  /** Ends a stream that is whole. */
  endStream(head: ResponseHead): void {
    const {answer} = this.options;
    if (!answer.hasBegun) {
      answer.begin(head);
    }
    answer.end();
  }

  /** Sends an answer that was held until it was whole. */
  sendHeld(head: ResponseHead): void {
    this.options.answer.sendWhole(head, this.held.copyWhole());
  }

  private passEvent(bytes: Buffer, id: string | undefined): void {
    const {answer, onPassed} = this.options;
    if (!this.firstHead || answer.isGone) {
      return;
    }
    if (!answer.hasBegun) {
      answer.begin(this.firstHead);
    }
    this.newestEventId = id ?? this.newestEventId;
    onPassed(answer.write(bytes));
  }
}
