/** Accepts dispatches from entries, runs them on the backend server, and reports their outcomes. */
import {Clock} from '../common/clock';
import {EventRing} from '../common/event_ring';
import {AttemptTracker} from '../coordination/requests/attempt_tracker';
import {Message} from '../protocol/message';
import {MessageOf} from '../protocol/message_of';
import {Peer} from '../protocol/peer';
import {RequestMessage} from '../protocol/request_message';
import {BackendHttpClient} from '../transport/backend_http_client';
import {RunningAttempt} from './running_attempt';

const CLOCK_REPORT_INTERVAL_MS = 1_000;
const REFUSAL_RETRY_AFTER_MS = 250;

type Dispatch = MessageOf<RequestMessage, 'dispatch'>;

/** What the runner needs from its host process. */
interface AttemptRunnerOptions {
  readonly incarnation: string;
  readonly clock: Clock;
  readonly events: EventRing;
  readonly backend: BackendHttpClient;
  readonly findBackendUrl: () => string | undefined;
  /** Returns why a dispatch must not start now, or undefined if it may. */
  readonly findRefusalReason: (
    dispatch: Dispatch,
    now: number,
  ) => string | undefined;
  /** Returns why an attempt for this group and epoch must stop, or undefined if it may continue. */
  readonly findStopReason: (dispatch: Dispatch) => string | undefined;
}

/** The connection of one entry, and the attempts it dispatched. */
interface EntryConnection {
  readonly peer: Peer;
  readonly attempts: Map<number, RunningAttempt>;
}

type Handlers = {
  [T in RequestMessage['type']]?: (
    connection: EntryConnection,
    message: MessageOf<RequestMessage, T>,
  ) => void;
};

/** Runs attempts on the backend server for every connected entry. */
export class AttemptRunner {
  private readonly tracker = AttemptTracker.create();
  private readonly running = new Map<RunningAttempt, Dispatch>();
  private readonly connections = new Set<EntryConnection>();
  private readonly timer: NodeJS.Timeout;

  private constructor(private readonly options: AttemptRunnerOptions) {
    this.timer = setInterval(
      () => this.reportClocks(),
      CLOCK_REPORT_INTERVAL_MS,
    );
  }

  /**
   * Creates a runner without connections.
   *
   * @example
   * const runner = AttemptRunner.create(options);
   * runner.acceptEntry(peer);
   */
  static create(options: AttemptRunnerOptions): AttemptRunner {
    return new AttemptRunner(options);
  }

  /** Number of running attempts. */
  get runningCount(): number {
    return this.running.size;
  }

  /** Serves an entry until its connection ends. */
  acceptEntry(peer: Peer): void {
    const connection: EntryConnection = {peer, attempts: new Map()};
    this.connections.add(connection);
    this.reportClock(peer);
    void peer.messages
      .observe(message => this.receive(connection, message))
      .catch(() => peer.close());
    void peer.closed.then(() => {
      this.connections.delete(connection);
      for (const attempt of connection.attempts.values()) {
        this.handleEntryDisconnect(attempt);
      }
    });
  }

  /** Stops every attempt that is no longer allowed to run. */
  stopUnauthorized(): void {
    for (const [attempt, dispatch] of this.running) {
      const reason = this.options.findStopReason(dispatch);
      if (reason) {
        attempt.stop({outcome: 'failed', reason});
      }
    }
  }

  /** Stops every attempt as failed, since it may have run in part. */
  stopAll(reason: string): void {
    for (const attempt of [...this.running.keys()]) {
      attempt.stop({outcome: 'failed', reason});
    }
  }

  close(): void {
    clearInterval(this.timer);
    for (const {peer} of this.connections) {
      peer.close();
    }
  }

  private receive(connection: EntryConnection, message: Message): void {
    const handler = this.handlers[message.type as RequestMessage['type']];
    handler?.(connection, message as never);
  }

  private readonly handlers: Handlers = {
    dispatch: (connection, message) => this.dispatch(connection, message),
    credit: ({attempts}, {stream, bytes}) =>
      attempts.get(stream)?.addCredit(bytes),
    cancel: ({attempts}, {stream}) =>
      attempts
        .get(stream)
        ?.stop({outcome: 'failed', reason: 'the caller went away'}),
    'tombstone-ask': ({peer}, {attemptId}) =>
      this.answerTombstone(peer, attemptId),
  };

  private dispatch(connection: EntryConnection, dispatch: Dispatch): void {
    const {clock, findRefusalReason, findBackendUrl} = this.options;
    // Read after the frame has arrived: after a suspension the frame may be old, but the clock is current.
    const now = clock.now();
    const {attemptId, stream} = dispatch;
    const known = this.tracker.find(attemptId);
    if (known && known.status !== 'never-started') {
      const reason = 'this attempt was started before';
      connection.peer.send({
        type: 'end',
        stream,
        frames: 0,
        outcome: 'unknown',
        reason,
      });
      return;
    }
    const url = findBackendUrl();
    const refusal = known
      ? 'the attempt was given up before it came'
      : findRefusalReason(dispatch, now);
    if (refusal || !url) {
      // A refused attempt must never start, even if its dispatch arrives again.
      this.tracker.recordTombstone(attemptId, now);
      const reason = refusal ?? 'no backend server is announced';
      connection.peer.send({
        type: 'refused',
        stream,
        reason,
        retryAfterMs: REFUSAL_RETRY_AFTER_MS,
      });
      return;
    }
    this.tracker.start(attemptId, now);
    this.run(connection, dispatch, url);
  }

  private run(
    connection: EntryConnection,
    dispatch: Dispatch,
    backendUrl: string,
  ): void {
    const {backend, findStopReason, events} = this.options;
    const attempt = RunningAttempt.create({
      dispatch,
      backend,
      backendUrl,
      epoch: dispatch.epoch,
      send: message => connection.peer.send(message),
      findStopReason: () => findStopReason(dispatch),
    });
    this.running.set(attempt, dispatch);
    connection.attempts.set(dispatch.stream, attempt);
    void attempt.ended.then(({outcome, reason}) => {
      this.running.delete(attempt);
      connection.attempts.delete(dispatch.stream);
      this.tracker.end(dispatch.attemptId, outcome);
      if (outcome !== 'answered') {
        const {attemptId: id} = dispatch;
        events.record({
          type: `attempt-${outcome}`,
          subject: 'request',
          id,
          reason,
        });
      }
    });
  }

  /**
   * Lets an attempt that must run at most once continue without its entry, so that
   * its outcome becomes known. Stops any other attempt.
   */
  private handleEntryDisconnect(attempt: RunningAttempt): void {
    if (this.running.get(attempt)?.isRepeatable === false) {
      attempt.finishDetached();
    } else {
      attempt.stop({outcome: 'unknown', reason: 'the entry went away'});
    }
  }

  private answerTombstone(peer: Peer, attemptId: string): void {
    const state = this.tracker.recordTombstone(
      attemptId,
      this.options.clock.now(),
    );
    const verdict = state.status;
    const outcome = state.status === 'ended' ? state.outcome : undefined;
    peer.send({type: 'tombstone-answer', attemptId, verdict, outcome});
  }

  private reportClocks(): void {
    this.connections.forEach(({peer}) => this.reportClock(peer));
  }

  private reportClock(peer: Peer): void {
    const {incarnation, clock} = this.options;
    peer.send({
      type: 'clock',
      incarnation,
      now: clock.now(),
      running: this.running.size,
    });
  }
}
