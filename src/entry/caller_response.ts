/** Writes one answer to one caller: whole, or as a stream with an explicit end. */
import {ServerResponse} from 'node:http';
import {Outcome} from '../protocol/outcome';
import {Problem} from './problem';
import {sendProblem} from './send_problem';

/** Whole answers up to this size are held until their outcome is known. */
const MAX_HELD_BYTES = 1024 * 1024;
const OUTCOME_HEADER = 'whinreel-outcome';
const RESUMED_FROM_HEADER = 'whinreel-resumed-from';
const LINE_FEED = 10;
const OK = 200;
const EVENT_STREAM = 'text/event-stream';
const DROPPED_HEADERS = new Set([
  'connection',
  'keep-alive',
  'transfer-encoding',
  'content-length',
]);

/** Turns the frames of an attempt into HTTP. */
export class CallerResponse {
  private bufferedChunks: Uint8Array[] | undefined;
  /** Told when the caller goes away. */
  private onDisconnect: (() => void) | undefined;
  /** Told when there is room for more. */
  private readonly drainCallbacks: Array<() => void> = [];
  private bufferedBytes = 0;
  private isEvents = false;
  private hasDeliveredData = false;
  private eventCount = 0;

  private constructor(private readonly response: ServerResponse) {}

  /**
   * Wraps a response whose headers were not sent.
   *
   * @example
   * const answer = CallerResponse.create(response);
   */
  static create(response: ServerResponse): CallerResponse {
    return new CallerResponse(response);
  }

  /** Part of an answer has left: it cannot be started over. */
  get hasDelivered(): boolean {
    return this.hasDeliveredData;
  }

  /** Whole events that the caller was sent. */
  get deliveredEventCount(): number {
    return this.eventCount;
  }

  /** A broken stream can be taken up by another replica behind its last event. */
  get canResume(): boolean {
    return this.hasDeliveredData && this.isEvents && !this.isDisconnected;
  }

  /** The caller went away before the end. */
  get isDisconnected(): boolean {
    return this.response.destroyed;
  }

  /**
   * Calls back if the caller goes away before the end. Of several attempts only
   * the newest is told.
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

  /** Takes the status and headers; forgets those of an earlier attempt. */
  start(status: number, headers: Readonly<Record<string, string>>): void {
    this.isEvents = headers['content-type']?.startsWith(EVENT_STREAM) ?? false;
    this.bufferedChunks = this.isEvents ? undefined : [];
    this.bufferedBytes = 0;
    this.response.statusCode = status;
    for (const [name, value] of Object.entries(headers)) {
      if (!DROPPED_HEADERS.has(name)) {
        this.response.setHeader(name, value);
      }
    }
    if (this.isEvents) {
      this.response.setHeader('trailer', OUTCOME_HEADER);
    }
  }

  /**
   * Goes on with the answer of another attempt; false when that attempt does
   * not start behind the last event that the caller was sent.
   */
  isContinuedBy(
    status: number,
    headers: Readonly<Record<string, string>>,
  ): boolean {
    const from = headers[RESUMED_FROM_HEADER];
    return status === OK && from === String(this.eventCount);
  }

  /** Writes a part of the answer; `onWritten` is called when there is room for more. */
  write(bytes: Uint8Array, onWritten: () => void): void {
    if (
      this.bufferedChunks &&
      this.bufferedBytes + bytes.length <= MAX_HELD_BYTES
    ) {
      this.bufferedChunks.push(bytes);
      this.bufferedBytes += bytes.length;
      onWritten();
      return;
    }
    this.flushBuffered();
    this.hasDeliveredData = true;
    this.eventCount += this.isEvents ? countEvents(bytes) : 0;
    const hasRoom = this.isDisconnected || this.response.write(bytes);
    if (hasRoom) {
      onWritten();
    } else {
      this.waitForDrain(onWritten);
    }
  }

  /** Ends an answer that is whole. */
  finish(): void {
    if (this.bufferedChunks) {
      this.response.setHeader(OUTCOME_HEADER, 'answered');
      this.response.setHeader('content-length', String(this.bufferedBytes));
      this.response.end(Buffer.concat(this.bufferedChunks));
      return;
    }
    this.addTrailer('answered');
    this.response.end();
  }

  /** Ends an answer that is not whole: with a problem, an error event, or a broken connection. */
  fail(problem: Problem): void {
    if (!this.hasDeliveredData) {
      this.clearHeaders();
      sendProblem(this.response, problem);
      return;
    }
    if (!this.isEvents) {
      // Only a broken transfer tells the caller of a plain body that it is short.
      this.response.destroy();
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

  /** A caller that goes away never drains, but work that runs once must go on. */
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
    const held = this.bufferedChunks;
    this.bufferedChunks = undefined;
    held?.forEach(bytes => this.response.write(bytes));
  }

  private addTrailer(outcome: Outcome): void {
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

/** Frames hold whole events, so each ends with an empty line. */
function countEvents(bytes: Uint8Array): number {
  let count = 0;
  for (let at = 1; at < bytes.length; at += 1) {
    if (bytes[at] === LINE_FEED && bytes[at - 1] === LINE_FEED) {
      count += 1;
    }
  }
  return count;
}
