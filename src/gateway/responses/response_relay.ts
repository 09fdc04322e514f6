/** Forwards response bodies to the caller: streams event by event, everything else once it is complete. */
import {Clock} from '../../common/clock';
import {FaultBoundary} from '../../common/fault_boundary';
import {EventStreamSplitter} from '../../protocol/event_stream_splitter';
import {EventOrder} from './event_order';
import {MAX_EVENT_BYTES} from './max_event_bytes';
import {MAX_HELD_BYTES} from './max_held_bytes';
import {RejectionCause} from './rejection_cause';
import {ResponseBuffer} from './response_buffer';
import {ResponseMemory} from './response_memory';
import {ResponseHead} from '../response_head';
import {ResponseWriter} from './response_writer';

/** A caller that reads has a response of the longest kind within it, also over a slow link. */
const UNREAD_AFTER_MS = 1_000;

interface ResponseRelayOptions {
  /** Of the request, which other requests and the connection of the caller call. */
  readonly boundary: FaultBoundary;
  readonly clock: Clock;
  readonly response: ResponseWriter;
  /** The memory of the gateway; `canEvict` and `onEvicted` are for the share of this response. */
  readonly memory: ResponseMemory;
  readonly canEvict: () => boolean;
  readonly onEvicted: () => void;
  /** The last event that the caller received before this request. */
  readonly lastEventId: string | undefined;
  /** Called after events were forwarded together; `eventCount` is 0 for empty lines alone, `hasRoom` is false when the caller reads too slowly. */
  readonly onForwarded: (eventCount: number, hasRoom: boolean) => void;
}

type HoldFailure = NonNullable<ReturnType<ResponseBuffer['add']>>;
type StreamSplitter = EventStreamSplitter<HoldFailure>;
type StreamEvents = ReturnType<StreamSplitter['split']>;

const EVENT_CAUSES: Readonly<Record<HoldFailure, RejectionCause>> = {
  'too-long': 'oversized-event',
  'no-room': 'buffers-full',
};
const BODY_CAUSES: Readonly<Record<HoldFailure, RejectionCause>> = {
  'too-long': 'oversized-body',
  'no-room': 'buffers-full',
};

/** Assembles one response from one or more attempts. */
export class ResponseRelay {
  private callerHead: ResponseHead | undefined;
  private readonly share: ReturnType<ResponseMemory['createShare']>;
  private splitter: StreamSplitter;
  private readonly buffered: ResponseBuffer;
  private readonly order: EventOrder;

  private constructor(private readonly options: ResponseRelayOptions) {
    this.order = EventOrder.create(options.lastEventId);
    const {memory, boundary, canEvict, onEvicted} = options;
    this.share = memory.createShare({
      canEvict: () => boundary.run(canEvict) ?? false,
      onEvicted: boundary.wrap(onEvicted),
    });
    this.splitter = this.createSplitter();
    this.buffered = ResponseBuffer.create(MAX_HELD_BYTES, this.share);
  }

  /**
   * Creates a relay that has forwarded nothing.
   *
   * @example
   * const relay = ResponseRelay.create({boundary, clock, response, memory, canEvict, onEvicted, lastEventId, onForwarded});
   */
  static create(options: ResponseRelayOptions): ResponseRelay {
    return new ResponseRelay(options);
  }

  /** The head that the caller receives. */
  get head(): ResponseHead | undefined {
    return this.callerHead;
  }

  /** The id of the last event that was sent to the caller. */
  get lastEventId(): string | undefined {
    return this.order.last;
  }

  /** False if another run could not go on after what was sent to the caller. */
  get canResume(): boolean {
    return this.order.canResume;
  }

  /** True when part of an event is pending. */
  get hasPartialEvent(): boolean {
    return this.splitter.pendingBytes > 0;
  }

  /** Discards what an attempt left incomplete. */
  reset(): void {
    this.splitter = this.createSplitter();
    this.buffered.clear();
    this.order.resume();
  }

  /** Accepts the head of an attempt; returns a reason when it cannot continue what the caller has received. */
  acceptHead(head: ResponseHead): string | undefined {
    const {response} = this.options;
    const isRest =
      head.isEventStream && head.status === this.callerHead?.status;
    if (response.hasSentHead && !isRest) {
      return `status ${head.status} in place of the rest`;
    }
    // A resumed stream keeps the head that was already sent.
    if (!response.hasSentHead) {
      this.callerHead = head;
    }
    return undefined;
  }

  /** Accepts part of a body; returns the cause if it cannot be forwarded. */
  acceptData(chunk: Buffer): RejectionCause | undefined {
    if (this.callerHead?.isEventStream) {
      const events = this.splitter.split(chunk);
      const at = events.findIndex(
        ({id, hasData}) => !this.order.accept(id, hasData),
      );
      this.forwardEvents(at < 0 ? events : events.slice(0, at));
      if (at >= 0) {
        return 'disordered';
      }
      const {failure} = this.splitter;
      return failure && EVENT_CAUSES[failure];
    }
    const failure = this.buffered.add(chunk);
    return failure && BODY_CAUSES[failure];
  }

  /** Ends a complete stream. */
  endStream(head: ResponseHead): void {
    const {response} = this.options;
    if (!response.hasSentHead) {
      response.sendHead(head);
    }
    response.end();
  }

  /** Sends a response that was buffered until it was complete, which counts until its caller has read it. */
  sendBuffered(head: ResponseHead): void {
    const {response} = this.options;
    const bytes = this.buffered.allocatedBytes;
    const blocks = this.buffered.takeBlocks();
    if (!response.isDisconnected) {
      this.countUnread(bytes);
    }
    response.sendComplete(head, blocks);
  }

  /** The bytes were released just before, so there is room for them. */
  private countUnread(bytes: number): void {
    const {response, memory, clock, boundary} = this.options;
    const sentAt = clock.now();
    const unread = memory.createShare({
      canEvict: () => false,
      isUnread: () => clock.now() - sentAt > UNREAD_AFTER_MS,
      onEvicted: boundary.wrap(() => response.cancel()),
    });
    response.watchClose(boundary.wrap(() => unread.release()));
    unread.reserve(bytes);
  }

  private createSplitter(): StreamSplitter {
    const held = ResponseBuffer.create(MAX_EVENT_BYTES, this.share);
    return EventStreamSplitter.create(held, {
      isContinuation: this.options.response.hasSentHead,
    });
  }

  /** Writes events that came together at once, as a read may hold thousands of short ones. */
  private forwardEvents(events: StreamEvents): void {
    const {response, onForwarded} = this.options;
    if (events.length === 0 || !this.callerHead || response.isDisconnected) {
      return;
    }
    if (!response.hasSentHead) {
      response.sendHead(this.callerHead);
    }
    const eventCount = events.filter(({isBlank}) => !isBlank).length;
    const parts = events.map(({bytes}) => bytes);
    const bytes = parts.length === 1 ? parts[0] : Buffer.concat(parts);
    onForwarded(eventCount, response.write(bytes));
  }
}
