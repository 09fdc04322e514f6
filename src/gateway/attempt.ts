/** Sends a request to one backend server once, and classifies each way in which that can end. */
import {runEach} from '../common/run_each';
import {GatewayTarget} from '../protocol/gateway_target';
import {ConnectionUse} from '../transport/connection_use';
import {HttpClientPool} from '../transport/http_client_pool';
import {AttemptOptions} from './attempt_options';
import {AttemptOutcome} from './attempt_outcome';
import {BackendSignals} from './limits/backend_signals';
import {ResponseHead} from './response_head';
import {canHoldBody} from './responses/can_hold_body';
import {findRejectionCause} from './responses/find_rejection_cause';
import {RejectionCause} from './responses/rejection_cause';

/** One attempt to execute a request. */
export class Attempt {
  /** When the attempt was created, the body last received data or reading was resumed, whichever is newest. */
  quietSince: number;
  private handle: ReturnType<HttpClientPool['call']> | undefined;
  private head: ResponseHead | undefined;
  /** The connection that the request was written to. */
  private connection: ConnectionUse | undefined;
  private hasBodyData = false;
  /** An engine's events are a pass apart, so that each arrives as a chunk of its own. */
  private chunkCount = 0;
  private isSent = false;
  private sentAt = -Infinity;
  private isEnded = false;
  private recordAccepted: ReturnType<BackendSignals['beginRequest']>;
  private isReadPaused = false;

  private constructor(private readonly options: AttemptOptions) {
    this.quietSince = options.clock.now();
  }

  /**
   * Creates an attempt that holds nothing yet.
   *
   * @example
   * const attempt = Attempt.create(options);
   * attempt.send();
   */
  static create(options: AttemptOptions): Attempt {
    return new Attempt(options);
  }

  get target(): GatewayTarget {
    return this.options.target;
  }

  /** True once part of the response body has been received. */
  get hasStarted(): boolean {
    return this.hasBodyData;
  }

  /** True once the request may have been written to a connection. */
  get wasWritten(): boolean {
    return this.isSent;
  }

  /** True while it waits for a connection: nothing was sent to the backend server. */
  get isWaiting(): boolean {
    return !this.isSent && !this.isEnded;
  }

  /** True while it waits for a connection to a backend server that the control plane no longer lists or that accepts nothing now. */
  get isTargetUnavailable(): boolean {
    const {balancer, target} = this.options;
    const isOpen = balancer.isOpen(target.incarnation) && this.maySend;
    return this.isWaiting && !isOpen;
  }

  /** The backend server still accepts new requests, its zone is not evacuated, the permit or the absence of a limit still holds, and the rules are confirmed. */
  private get maySend(): boolean {
    const {signals, target, permit, balancer, isConfirmed} = this.options;
    const {incarnation} = target;
    const isAllowed = permit
      ? !permit.hasExpired()
      : !signals.limits.isLimited(incarnation);
    const isOpen =
      balancer.zones.canSendTo(target) && signals.canSendTo(incarnation);
    return isAllowed && isConfirmed() && isOpen;
  }

  /** Ends the attempt and closes its connection, so that the backend server notices. */
  stop(reason: string, received?: string): void {
    const kind = this.isSent ? 'broken' : 'not-run';
    const [fault] = runEach([
      () => this.finish({kind, reason, received}),
      () => this.handle?.abort(),
    ]);
    if (fault) {
      throw fault;
    }
  }

  /** Ends the attempt because of a response that is not taken as the answer to its request. */
  reject(cause: RejectionCause): void {
    if (!this.isEnded) {
      this.rejectResponse(cause, this.head);
    }
  }

  /** Stops reading the response until `resume`, as backpressure from the caller. */
  pause(): void {
    this.isReadPaused = true;
    this.handle?.pause();
  }

  /** True while nothing is read because the caller reads too slowly. */
  get isPaused(): boolean {
    return this.isReadPaused;
  }

  resume(): void {
    this.isReadPaused = false;
    this.quietSince = this.options.clock.now();
    this.handle?.resume();
  }

  /** Sends the request; called once. */
  send(): void {
    const {request, body, target, dialect, clientPool, balancer} = this.options;
    const {workspace, remainingMs, lastEventId, maxConnections} = this.options;
    const {urgency, sendsUrgency, signals, boundary} = this.options;
    const {incarnation, address} = target;
    this.recordAccepted = signals.beginRequest(incarnation);
    balancer.recordRequestStart(incarnation, request.promptTokens);
    const headers = dialect.createHeaders(request, {
      incarnation,
      workspace,
      urgency: sendsUrgency ? urgency : undefined,
      remainingMs,
      lastEventId,
    });
    this.handle = clientPool.call(
      {
        id: request.id,
        address,
        method: request.method,
        path: request.path,
        headers,
        body: body.length === 0 ? null : body,
        maxConnections,
      },
      {
        onSent: use => boundary.run(() => this.handleSent(use)) ?? false,
        onHead: boundary.wrap((status, raw) =>
          this.handleHead(
            dialect.readResponseHead(status, raw),
            Number(raw['content-length'] ?? 0),
          ),
        ),
        onData: boundary.wrap(chunk => this.handleData(chunk)),
        onEndedByConnection: boundary.wrap(state => {
          if (!this.isEnded) {
            const response = this.describeResponse(this.head);
            this.options.responseLog.recordEndByConnection(state, response);
          }
        }),
        onEnd: boundary.wrap(() => this.handleEnd()),
        onError: boundary.wrap(error => this.handleError(error)),
      },
    );
  }

  /**
   * Checks the target again: while this waited for a connection, it may have announced a
   * limit or a shutdown, its zone may have been evacuated, or the rules have expired.
   *
   * @returns false if the request must not be written
   */
  private handleSent(use: ConnectionUse): boolean {
    if (this.isEnded || !this.maySend) {
      this.stop('its backend server takes no new work');
      return false;
    }
    if (this.options.retry?.isFresh === false) {
      this.stop('its retry was granted too long ago');
      return false;
    }
    this.isSent = true;
    this.connection = use;
    this.options.onWritten?.();
    this.sentAt = this.options.clock.now();
    return true;
  }

  private handleHead(head: ResponseHead, announcedBytes: number): void {
    if (this.isEnded) {
      return;
    }
    this.options.retry?.settle();
    const cause = findRejectionCause(head, this.options.request.id);
    if (cause) {
      this.rejectResponse(cause, head);
      return;
    }
    this.head = head;
    const {method} = this.options.request;
    if (!this.hasResult) {
      this.handleRefusal(head);
    } else if (!canHoldBody(head, method, announcedBytes)) {
      this.reject('oversized-body');
    } else {
      this.recordSignals(head);
      this.options.onHead(head);
    }
  }

  /** Takes a response which states that the request was not executed. */
  private handleRefusal(head: ResponseHead): void {
    const {balancer, target, responseLog} = this.options;
    responseLog.recordRefusal(this.describeResponse(head));
    if (head.isWrongIncarnation) {
      balancer.recordClosed(target);
    } else {
      this.recordSignals(head);
      balancer.recordFull(target.incarnation);
    }
    // Most refusals are complete by then, which leaves their connection free for the next request.
    queueMicrotask(
      this.options.boundary.wrap(() => {
        this.finishRefused();
        this.handle?.drain();
      }),
    );
  }

  /** Records what the backend server states about itself in the head of a response. */
  private recordSignals(head: ResponseHead): void {
    const {target, signals, pool} = this.options;
    const {sentAt} = this;
    const {incarnation} = target;
    const isColdLimited = (pool?.coldRequestsPerSecond ?? 0) > 0;
    signals.recordHead({incarnation, head, sentAt, isColdLimited});
    this.recordAccepted?.(!head.isNotRun && head.restMs === undefined);
  }

  private rejectResponse(cause: RejectionCause, head?: ResponseHead): void {
    const {responseLog} = this.options;
    const response = this.describeResponse(head);
    const {reason, received} = responseLog.recordRejection(cause, response);
    this.stop(reason, received);
  }

  private describeResponse(head: ResponseHead | undefined) {
    const {request, target} = this.options;
    return {
      requestId: request.id,
      target: target.incarnation,
      status: head?.status,
      answeredId: head?.requestId,
      connection: this.connection,
    };
  }

  private handleData(chunk: Buffer): void {
    const {balancer, target, request, clock} = this.options;
    if (this.isEnded || !this.hasResult) {
      return;
    }
    this.quietSince = clock.now();
    this.chunkCount += 1;
    balancer.recordActivity(target.incarnation);
    if (!this.hasBodyData) {
      this.hasBodyData = true;
      balancer.recordResponseStart(target.incarnation, request.promptTokens);
    }
    this.options.onData(chunk);
  }

  private handleEnd(): void {
    if (this.hasResult) {
      this.finish({kind: 'whole', reason: 'answered'});
      return;
    }
    this.finishRefused();
  }

  /** Ends the attempt at the head of a refusal: its body changes nothing, and may not end. */
  private finishRefused(): void {
    const status = this.head?.status ?? 0;
    const reason = `refused with status ${status}`;
    const isFull = this.head !== undefined && !this.head.isWrongIncarnation;
    this.finish({kind: 'not-run', reason, isFull});
  }

  private handleError(error: Error): void {
    const {balancer, target} = this.options;
    // An attempt that was stopped before it was sent says nothing about the connection.
    if (this.isEnded) {
      return;
    }
    if (error.name === 'Unsendable') {
      // No sign of an unreachable server; another may have an id that fits into a header.
      const reason = `it has no form in HTTP: ${String(error.cause ?? error)}`;
      this.finish({kind: 'not-run', reason});
      return;
    }
    if (error.name === 'NeverSent') {
      balancer.recordUnreachable(target.incarnation, readCause(error));
      this.finish({kind: 'not-run', reason: 'no connection was made'});
      return;
    }
    if (this.head && !this.hasResult) {
      this.finish({kind: 'not-run', reason: 'refused, then broken off'});
      return;
    }
    if (error.name === 'Oversized') {
      this.reject(this.head ? 'oversized-framing' : 'oversized-head');
      return;
    }
    this.finish({
      kind: 'broken',
      reason: 'the connection broke',
      isConnectionLost: true,
    });
  }

  /** False before a head, and for a response which states that the request was not executed. */
  private get hasResult(): boolean {
    const {head} = this;
    return head !== undefined && !head.isNotRun && !head.isWrongIncarnation;
  }

  private finish(end: AttemptOutcome): void {
    if (this.isEnded) {
      return;
    }
    this.isEnded = true;
    const [fault] = runEach(this.listReleases(end));
    if (fault) {
      throw fault;
    }
    this.options.onEnd(end);
  }

  /** Steps that give back what the attempt holds. */
  private listReleases(end: AttemptOutcome): Array<() => void> {
    const {balancer, target, request, retry} = this.options;
    const {incarnation} = target;
    const {promptTokens} = request;
    const isWholeStream =
      end.kind === 'whole' && (this.head?.isEventStream ?? false);
    return [
      () => this.recordAccepted?.(false),
      () => (this.isSent ? retry?.settle() : retry?.cancel()),
      () => {
        if (!this.hasBodyData) {
          balancer.recordResponseStart(incarnation, promptTokens);
        }
      },
      () =>
        balancer.recordRequestEnd(incarnation, promptTokens, {
          events: isWholeStream ? this.chunkCount : undefined,
          wasRejected: end.received !== undefined,
        }),
    ];
  }
}

/** The code of a failed connection, such as ECONNREFUSED, or else its message. */
function readCause({cause, message}: Error): string {
  const {code, message: reason = message} = (cause ??
    {}) as NodeJS.ErrnoException;
  return code ?? reason;
}
