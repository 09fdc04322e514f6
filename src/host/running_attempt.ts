/** One attempt that runs on the backend server, and its response on the way to the entry. */
import {MessageOf} from '../protocol/message_of';
import {RequestOutcome} from '../protocol/request_outcome';
import {RequestMessage} from '../protocol/request_message';
import {BackendHttpClient} from '../transport/backend_http_client';
import {TransportError} from '../transport/transport_error';
import {BackendEventStream} from './backend_event_stream';

const MAX_FRAME_DATA_BYTES = 64 * 1024;
const MAX_EVENT_BYTES = 1024 * 1024;
/** Bytes of a response that are read without an entry, only to learn how the attempt ends. */
const MAX_DETACHED_BYTES = 16 * 1024 * 1024;
const SERVER_ERROR = 500;
const EVENT_STREAM = 'text/event-stream';
/** Present when the caller has events of an earlier attempt. */
const RESUME_HEADER = 'whinreel-resume-after';

/** How an attempt ended. */
interface AttemptOutcome {
  readonly outcome: RequestOutcome;
  readonly reason: string;
}

/** What an attempt needs. */
interface RunningAttemptOptions {
  readonly dispatch: MessageOf<RequestMessage, 'dispatch'>;
  readonly backend: BackendHttpClient;
  readonly backendUrl: string;
  /** Epoch of the group, which the backend server receives with the request for fencing. */
  readonly epoch: number;
  readonly send: (message: RequestMessage) => void;
  /** Called before anything is forwarded; a returned reason stops the attempt. */
  readonly findStopReason: () => string | undefined;
}

/** Runs one attempt and sends its response in frames, as far as the entry's credit allows. */
export class RunningAttempt {
  /** Resolves once, after the last frame was sent. */
  readonly ended: Promise<AttemptOutcome>;
  private readonly abort = new AbortController();
  private credit: number;
  private resumeSending: (() => void) | undefined;
  private sequence = 0;
  private isDetached = false;
  private stopEnd: AttemptOutcome | undefined;

  private constructor(private readonly options: RunningAttemptOptions) {
    this.credit = options.dispatch.credit;
    this.ended = this.run();
  }

  /**
   * Starts the attempt at once.
   *
   * @example
   * const attempt = RunningAttempt.create({dispatch, backend, backendUrl, epoch, send, findStopReason});
   */
  static create(options: RunningAttemptOptions): RunningAttempt {
    return new RunningAttempt(options);
  }

  /** Allows more bytes of the response to be sent. */
  addCredit(bytes: number): void {
    this.credit += bytes;
    this.resumeSending?.();
  }

  /** Continues without the entry, up to a limit, so that the outcome becomes known. */
  finishDetached(): void {
    this.isDetached = true;
    this.addCredit(MAX_DETACHED_BYTES);
  }

  /** Stops the attempt; the first reason is kept. */
  stop(end: AttemptOutcome): void {
    this.stopEnd ??= end;
    this.abort.abort();
    this.resumeSending?.();
  }

  private async run(): Promise<AttemptOutcome> {
    const {dispatch, send} = this.options;
    let end: AttemptOutcome;
    try {
      end = await this.forward();
    } catch (error) {
      if (isNeverSent(error) && !this.stopEnd) {
        const reason = 'the backend server does not accept connections';
        send({
          type: 'refused',
          stream: dispatch.stream,
          reason,
          retryAfterMs: 1_000,
        });
        return {outcome: 'not-run', reason};
      }
      end = this.stopEnd ?? {
        outcome: 'unknown',
        reason: (error as Error).message,
      };
    }
    const {outcome, reason} = end;
    send({
      type: 'end',
      stream: dispatch.stream,
      frames: this.sequence,
      outcome,
      reason,
    });
    return end;
  }

  private async forward(): Promise<AttemptOutcome> {
    const {dispatch, backend, backendUrl, epoch, send} = this.options;
    const {method, path, headers, body, stream} = dispatch;
    const answer = await backend.call({
      url: backendUrl,
      method,
      path,
      headers: {
        ...headers,
        'whinreel-attempt-id': dispatch.attemptId,
        'whinreel-group': dispatch.groupId,
        'whinreel-epoch': String(epoch),
      },
      body,
      signal: this.abort.signal,
    });
    this.checkNotStopped();
    send({
      type: 'head',
      stream,
      status: answer.status,
      headers: answer.headers,
    });
    const isEvents =
      answer.headers['content-type']?.startsWith(EVENT_STREAM) ?? false;
    const events = isEvents
      ? BackendEventStream.create(RESUME_HEADER in headers)
      : undefined;
    for await (const chunk of answer.body) {
      this.checkNotStopped();
      await (events
        ? this.sendData(events.split(chunk))
        : this.sendChunks(chunk));
      if ((events?.pendingBytes ?? 0) > MAX_EVENT_BYTES) {
        return {
          outcome: 'failed',
          reason: 'the backend server sent an event without an end',
        };
      }
    }
    this.checkNotStopped();
    if (answer.status >= SERVER_ERROR) {
      return {
        outcome: 'failed',
        reason: `the backend server answered ${answer.status}`,
      };
    }
    if (events && !events.isComplete) {
      return {
        outcome: 'failed',
        reason: 'the backend server ended without its end mark',
      };
    }
    return {outcome: 'answered', reason: ''};
  }

  private async sendChunks(bytes: Buffer): Promise<void> {
    for (
      let offset = 0;
      offset < bytes.length;
      offset += MAX_FRAME_DATA_BYTES
    ) {
      await this.sendData(
        bytes.subarray(offset, offset + MAX_FRAME_DATA_BYTES),
      );
    }
  }

  /** Sends one frame, which may exceed the credit: cut events could not be resumed after a break. */
  private async sendData(bytes: Buffer): Promise<void> {
    if (bytes.length === 0) {
      return;
    }
    while (this.credit <= 0) {
      if (this.isDetached) {
        const reason = 'the response is too long to be read without its entry';
        this.stop({outcome: 'failed', reason});
        this.checkNotStopped();
      }
      await new Promise<void>(resolve => (this.resumeSending = resolve));
      this.checkNotStopped();
    }
    this.credit -= bytes.length;
    const {stream} = this.options.dispatch;
    const {sequence} = this;
    this.options.send({type: 'data', stream, sequence, bytes});
    this.sequence += 1;
  }

  /** Throws when the attempt was stopped or is no longer allowed to run. */
  private checkNotStopped(): void {
    const reason = this.options.findStopReason();
    if (reason) {
      this.stop({outcome: 'failed', reason});
    }
    if (this.stopEnd) {
      throw new TransportError({name: 'Stopped'}, this.stopEnd.reason);
    }
  }
}

function isNeverSent(error: unknown): boolean {
  return error instanceof TransportError && error.name === 'NeverSent';
}
