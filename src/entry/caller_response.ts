/** The HTTP response to one caller: a buffered body, or an event stream with an explicit end. */
import {
  ServerResponse,
  validateHeaderName,
  validateHeaderValue,
} from 'node:http';
import {ByteAccumulator} from '../common/byte_accumulator';
import {RequestOutcome} from '../protocol/request_outcome';
import {EventCounter} from './event_counter';
import {cancelResponse} from '../transport/cancel_response';
import {Problem} from './problem';
import {sendProblem} from './send_problem';

/** Bodies up to this size are buffered until the outcome of the attempt is known. */
const MAX_BUFFERED_BYTES = 1024 * 1024;
const OUTCOME_HEADER = 'whinreel-outcome';
const RESUMED_FROM_HEADER = 'whinreel-resumed-from';
const OK = 200;
/** Node.js throws for any other final status. */
const MAX_STATUS = 999;
const EVENT_STREAM = 'text/event-stream';
/** Headers with this prefix are the entry's own statements to the caller. */
const OWN_HEADER_PREFIX = 'whinreel-';
const NOT_FORWARDED_HEADERS = new Set([
  'connection',
  'keep-alive',
  'transfer-encoding',
  'content-length',
  'trailer',
]);

/** Writes the frames of one or more attempts to one HTTP response. */
export class CallerResponse {
  private buffered: ByteAccumulator | undefined;
  /** Called when the caller disconnects. */
  private onDisconnect: (() => void) | undefined;
  /** Called when the socket drains or closes. */
  private readonly drainCallbacks: Array<() => void> = [];
  private isEvents = false;
  private hasDeliveredData = false;
  private readonly events = EventCounter.create();

  private constructor(private readonly response: ServerResponse) {}

  /**
   * Wraps a response whose headers were not sent.
   *
   * @example
   * const callerResponse = CallerResponse.create(response);
   */
  static create(response: ServerResponse): CallerResponse {
    return new CallerResponse(response);
  }

  /** Part of the body was sent, so the response cannot start over. */
  get hasDelivered(): boolean {
    return this.hasDeliveredData;
  }

  /** Number of complete events sent to the caller. */
  get deliveredEventCount(): number {
    return this.events.count;
  }

  /** Another replica can continue the interrupted event stream after its last event. */
  get canResume(): boolean {
    return this.hasDeliveredData && this.isEvents && !this.isDisconnected;
  }

  /** The connection to the caller is closed. */
  get isDisconnected(): boolean {
    return this.response.destroyed;
  }

  /**
   * Calls back if the caller disconnects before the response is complete.
   * Replaces the callback of an earlier attempt.
   */
  watchDisconnect(callback: () => void): void {
    if (!this.onDisconnect) {
      this.response.once('close', () => {
        if (!this.response.writableFinished) {
          this.onDisconnect?.();
        }
      });
    }
    this.onDisconnect = callback;
  }

  /** Returns whether HTTP allows the status and headers, so that `start` does not throw for them. */
  canStart(status: number, headers: Readonly<Record<string, string>>): boolean {
    try {
      for (const [name, value] of Object.entries(headers)) {
        validateHeaderName(name);
        validateHeaderValue(name, value);
      }
    } catch {
      return false;
    }
    return status >= OK && status <= MAX_STATUS;
  }

  /** Sets the status and headers, and discards those and the buffered body of an earlier attempt. */
  start(status: number, headers: Readonly<Record<string, string>>): void {
    this.clearHeaders();
    this.isEvents = isEventStream(headers);
    this.buffered = this.isEvents ? undefined : ByteAccumulator.create();
    this.response.statusCode = status;
    for (const [name, value] of Object.entries(headers)) {
      const isOwn = name.startsWith(OWN_HEADER_PREFIX);
      if (!isOwn && !NOT_FORWARDED_HEADERS.has(name)) {
        this.response.setHeader(name, value);
      }
    }
    if (this.isEvents) {
      this.response.setHeader('trailer', OUTCOME_HEADER);
    }
  }

  /**
   * Returns whether the response to another attempt continues right after the
   * last event that was sent to the caller.
   */
  isContinuedBy(
    status: number,
    headers: Readonly<Record<string, string>>,
  ): boolean {
    const resumedFrom = headers[RESUMED_FROM_HEADER];
    return (
      status === OK &&
      isEventStream(headers) &&
      resumedFrom === String(this.events.count)
    );
  }

  /** Buffers or sends a chunk of the body; `onWritten` is called when there is room for more. */
  write(bytes: Uint8Array, onWritten: () => void): void {
    if (
      this.buffered &&
      this.buffered.length + bytes.length <= MAX_BUFFERED_BYTES
    ) {
      this.buffered.add(bytes);
      onWritten();
      return;
    }
    this.flushBuffered();
    this.hasDeliveredData = true;
    if (this.isEvents) {
      this.events.add(bytes);
    }
    const hasRoom = this.isDisconnected || this.response.write(bytes);
    if (hasRoom) {
      onWritten();
    } else {
      this.waitForDrain(onWritten);
    }
  }

  /** Ends a complete response. */
  finish(): void {
    if (this.buffered) {
      this.response.setHeader(OUTCOME_HEADER, 'answered');
      this.response.setHeader('content-length', String(this.buffered.length));
      this.response.end(this.buffered.take());
      return;
    }
    this.addTrailer('answered');
    this.response.end();
  }

  /** Ends an incomplete response: with a problem document, an error event, or a closed connection. */
  fail(problem: Problem): void {
    if (!this.hasDeliveredData) {
      this.clearHeaders();
      sendProblem(this.response, problem);
      return;
    }
    if (!this.isEvents) {
      cancelResponse(this.response);
      return;
    }
    const {title, detail, outcome} = problem;
    const error = {
      message: `${title}: ${detail}`,
      type: 'whinreel_error',
      outcome,
    };
    this.response.write(`event: error\ndata: ${JSON.stringify({error})}\n\n`);
    this.addTrailer(outcome);
    this.response.end();
  }

  /**
   * Waits for 'close' too: a socket whose caller disconnected never drains, but an
   * attempt that must run at most once has to continue.
   */
  private waitForDrain(onWritten: () => void): void {
    this.drainCallbacks.push(onWritten);
    if (this.drainCallbacks.length > 1) {
      return;
    }
    const proceed = () => {
      this.response.off('drain', proceed);
      this.response.off('close', proceed);
      this.drainCallbacks.splice(0).forEach(callback => callback());
    };
    this.response.on('drain', proceed);
    this.response.on('close', proceed);
  }

  private flushBuffered(): void {
    const bytes = this.buffered?.take();
    this.buffered = undefined;
    if (bytes && bytes.length > 0) {
      this.response.write(bytes);
    }
  }

  private addTrailer(outcome: RequestOutcome): void {
    if (this.isEvents) {
      this.response.addTrailers({[OUTCOME_HEADER]: outcome});
    }
  }

  private clearHeaders(): void {
    for (const name of this.response.getHeaderNames()) {
      if (name !== 'whinreel-request-id') {
        this.response.removeHeader(name);
      }
    }
  }
}

function isEventStream(headers: Readonly<Record<string, string>>): boolean {
  return headers['content-type']?.startsWith(EVENT_STREAM) ?? false;
}
