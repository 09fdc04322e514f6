/** Proxies one request: its attempts, retries, resumed streams and final response. */
import {Attempt} from './attempt';
import {AttemptOutcome} from './attempt_outcome';
import {CONVICTED_REASON} from './crashes/convicted_reason';
import {CrashCheck} from './crashes/crash_check';
import {createRequestPolicies} from './create_request_policies';
import {ERROR_STATUS} from './responses/error_status';
import {SlotWait} from './scheduling/slot_wait';
import {ProxiedRequestOptions} from './proxied_request_options';
import {RetryCause} from './retries/retry_cause';
import {RetryPolicy} from './retries/retry_policy';
import {RetryWait} from './retries/retry_wait';
import {RequestHistory} from './request_history';
import {RequestResult} from './request_result';
import {RequestSender} from './request_sender';
import {ResponseHead} from './response_head';
import {ResponseRelay} from './responses/response_relay';
import {RequestDispatcher} from './request_dispatcher';
import {sendErrorResponse} from './responses/send_error_response';
import {StallDetector} from './responses/stall_detector';
import {SuspectTrial} from './crashes/suspect_trial';

/** The state machine of one request, from its arrival until its caller has a final response. */
export class ProxiedRequest {
  private readonly sender: RequestSender;
  private readonly relay: ResponseRelay;
  private readonly history: RequestHistory;
  private readonly policy: RetryPolicy;
  private readonly retryWait: RetryWait;
  private readonly trial: SuspectTrial;
  private readonly crashCheck: CrashCheck;
  private readonly deadlineAt: number;
  private readonly timer: NodeJS.Timeout;
  private readonly stall: StallDetector;
  private readonly wait: SlotWait;
  private readonly dispatcher: RequestDispatcher;
  /** Key under which the forecast keeps its time to the first event. */
  private readonly work: string;
  private isDone = false;

  private constructor(private readonly options: ProxiedRequestOptions) {
    const {request, clock, response} = options;
    const policies = createRequestPolicies(options);
    this.deadlineAt = policies.deadlineAt;
    this.history = policies.history;
    this.policy = policies.policy;
    this.retryWait = RetryWait.create({policy: this.policy, clock});
    this.work = policies.work;
    this.stall = policies.stall;
    this.wait = policies.wait;
    this.trial = SuspectTrial.create(options);
    this.crashCheck = CrashCheck.create({...options, trial: this.trial});
    this.relay = ResponseRelay.create({
      clock,
      response,
      memory: options.responseMemory,
      canEvict: () => this.sender.attempt !== undefined,
      onEvicted: () => this.sender.attempt?.reject('buffers-full'),
      lastEventId: request.lastEventId,
      onForwarded: (count, hasRoom) => this.recordForwarded(count, hasRoom),
    });
    this.sender = RequestSender.create({
      ...policies,
      context: options,
      readLastEventId: () => this.relay.lastEventId,
      canStillSend: () => this.canStillSend,
      onSending: target => {
        this.wait.end();
        this.wait.recordSent(target);
        this.relay.reset();
      },
      onPermitDenied: () => this.handlePermitDenied(),
      onUnconfirmed: () => this.dispatcher.handleUnconfirmed(),
      onRetryDenied: () => this.handleRetryDenied(),
      onHead: head => this.handleHead(head),
      onData: chunk => this.handleData(chunk),
      onEnd: end => this.handleEnd(end),
    });
    this.dispatcher = RequestDispatcher.create({
      ...policies,
      context: options,
      sender: this.sender,
      onRefused: reason => this.fail(reason),
    });
    this.timer = setTimeout(
      () =>
        this.abandon('the time for the request is over', ERROR_STATUS.timedOut),
      Math.max(0, this.deadlineAt - clock.now()),
    );
    response.watchDisconnect(() => this.handleDisconnect());
  }

  /**
   * Starts to proxy a request.
   *
   * @example
   * const proxied = ProxiedRequest.create(options);
   */
  static create(options: ProxiedRequestOptions): ProxiedRequest {
    const proxied = new ProxiedRequest(options);
    options.budget.recordRequest();
    proxied.dispatch();
    return proxied;
  }

  /** True once the caller has its final response or has disconnected. */
  get isFinished(): boolean {
    return this.isDone;
  }

  /** Advances waits, trials and stall detection; called every few milliseconds. */
  check(now: number): void {
    const {containment, identity} = this.options;
    const {attempt} = this.sender;
    const hasStarted = attempt?.hasStarted ?? false;
    const suspicion = hasStarted ? 'free' : containment.findStatus(identity);
    if (suspicion === 'convicted') {
      this.abandon(CONVICTED_REASON, ERROR_STATUS.cannotBeRun);
    } else if (this.retryWait.isWaiting) {
      this.retryWait.check();
    } else if (this.trial.isWaiting) {
      this.checkTrial(now);
    } else if (this.wait.isWaiting && suspicion === 'suspected') {
      this.wait.end();
      this.trial.beginWaiting(now);
    } else if (this.wait.isWaiting) {
      this.dispatcher.check(now);
    } else if (attempt?.isTargetUnavailable) {
      attempt.stop('its backend server takes no new work');
    } else {
      this.checkStall(now);
    }
  }

  /**
   * Ends the request now, whatever its backend server does.
   *
   * @param status sent to the caller if the response has not begun
   */
  abandon(reason: string, status = this.errorStatus): void {
    if (this.isDone) {
      return;
    }
    const {attempt} = this.sender;
    this.markDone();
    attempt?.stop(reason);
    this.sendError(reason, status);
  }

  /** Sends a suspected request only to a backend server that runs no other suspect. */
  private checkTrial(now: number): void {
    const {canQueue, canAwaitRepair} = this.dispatcher;
    const step = this.trial.check(now, canQueue || canAwaitRepair, () =>
      this.sender.findTarget(this.history.wasSent),
    );
    if (step.kind === 'send') {
      this.sender.send(step.target);
    } else if (step.kind === 'free') {
      this.dispatch();
    } else if (step.kind === 'over') {
      this.fail('a backend server ended under it, and no other is free');
    }
  }

  /** Moves a stalled stream to another backend server, if its policy allows it and one is available. */
  private checkStall(now: number): void {
    const {policy, sender} = this;
    const {attempt} = sender;
    if (!attempt || !policy.canFailOver || !this.relay.canResume) {
      return;
    }
    const reason = this.stall.findFailoverReason(attempt, now);
    // Without budget for a retry, waiting is better than cutting the stream.
    if (reason && policy.hasRetry && sender.findTarget(true, true)) {
      attempt.stop(reason);
    }
  }

  /** Sends to the best target; a request that no engine has begun may first wait for a free slot. */
  private dispatch(reason?: string): void {
    const {containment, identity, clock} = this.options;
    if (containment.findStatus(identity) !== 'free') {
      this.trial.beginWaiting(clock.now());
      return this.check(clock.now());
    }
    this.dispatcher.dispatch(reason);
  }

  /** True if it is still unfinished, and did not become a suspect without a trial, while it waited for a permit. */
  private get canStillSend(): boolean {
    const {containment, identity} = this.options;
    const isFree =
      this.trial.hasGrant || containment.findStatus(identity) === 'free';
    return !this.isDone && isFree && this.options.isConfirmed();
  }

  private handlePermitDenied(): void {
    if (this.isDone || this.wait.isWaiting || this.trial.isWaiting) {
      return;
    }
    this.trial.end();
    this.dispatcher.handlePermitDenied();
  }

  private handleRetryDenied(): void {
    this.trial.end();
    this.dispatcher.handleRetryDenied();
  }

  private handleHead(head: ResponseHead): void {
    const mismatch = this.relay.acceptHead(head);
    if (mismatch) {
      this.sender.attempt?.stop(mismatch);
    }
  }

  private handleData(chunk: Buffer): void {
    this.trial.recordResponseStart();
    const cause = this.isDone ? undefined : this.relay.acceptData(chunk);
    if (cause) {
      this.sender.attempt?.reject(cause);
    }
  }

  private recordForwarded(eventCount: number, hasRoom: boolean): void {
    const {response, clock} = this.options;
    const {attempt} = this.sender;
    if (eventCount > 0) {
      this.history.recordEvents(eventCount, clock.now());
      this.options.containment.recordBegun(this.options.identity);
    }
    if (!hasRoom && attempt) {
      attempt.pause();
      response.watchDrain(() => attempt.resume());
    }
  }

  private handleEnd(end: AttemptOutcome): void {
    const {attempt} = this.sender;
    this.sender.attempt = undefined;
    if (end.kind !== 'whole') {
      this.relay.reset();
    }
    if (end.received !== undefined) {
      this.history.recordReceived(end.received);
    }
    this.trial.end();
    this.wait.recordSlotFreed(end, this.history.eventsOfOneAttempt);
    const hasRun = end.kind !== 'not-run';
    if (!hasRun && attempt && this.dispatcher.canQueue && !this.isDone) {
      this.dispatcher.retry(attempt.target, end.reason);
    } else if (end.isConnectionLost && attempt) {
      void this.handleConnectionLoss(attempt, end.reason);
    } else if (!this.isDone) {
      this.handleOutcome(end);
    }
  }

  private handleOutcome(end: AttemptOutcome): void {
    const {policy, relay} = this;
    if (end.kind === 'not-run') {
      policy.recordRefusal();
      this.retry(end.reason, policy.canRetryAfterRefusal, 'not-run');
      return;
    }
    policy.recordRun();
    const mayRetry = policy.canRetry && relay.canResume;
    if (end.kind === 'broken') {
      this.retry(end.reason, mayRetry, 'broken');
      return;
    }
    this.handleComplete(mayRetry);
  }

  private async handleConnectionLoss(
    attempt: Attempt,
    reason: string,
  ): Promise<void> {
    this.history.recordConnectionLoss(this.options.identity.name);
    await this.crashCheck.recordConnectionLoss(attempt);
    if (!this.isDone) {
      this.handleOutcome({kind: 'broken', reason});
    }
  }

  private handleComplete(mayRetry: boolean): void {
    const {head} = this.relay;
    const {containment, identity} = this.options;
    if (!head) {
      this.fail('an answer without a head');
      return;
    }
    if (head.isEventStream) {
      if (this.relay.hasPartialEvent) {
        this.retry('the stream ends within an event', mayRetry, 'broken');
        return;
      }
      this.relay.endStream(head);
      this.trial.recordCompletion();
      this.finish(head.status);
      return;
    }
    const isFailure = head.status >= 500;
    if (!isFailure) {
      containment.recordBegun(identity);
    }
    this.trial.recordCompletion();
    this.retryWait.begin({
      isAllowed: isFailure && mayRetry,
      cause: 'failed',
      onGranted: () => this.dispatch('no other backend server'),
      onDenied: () => {
        this.relay.sendBuffered(head);
        this.finish(head.status);
      },
    });
  }

  private retry(reason: string, isAllowed: boolean, cause: RetryCause): void {
    this.retryWait.begin({
      isAllowed,
      cause,
      onGranted: () => this.dispatch(reason),
      onDenied: () => this.fail(reason),
    });
  }

  /** Ends the request with an error. */
  private fail(reason: string): void {
    this.markDone();
    this.sendError(reason, this.errorStatus);
  }

  /** 503 only for a request that was certainly not executed. */
  private get errorStatus(): number {
    const {attempt} = this.sender;
    const isSent = attempt !== undefined && !attempt.isWaiting;
    const mayHaveRun =
      this.policy.mayHaveRun || isSent || this.crashCheck.isRunning;
    return mayHaveRun ? ERROR_STATUS.failed : ERROR_STATUS.notRun;
  }

  private sendError(cause: string, status: number): void {
    const {response, request} = this.options;
    const reason = this.policy.explain(cause);
    const details = {requestId: request.id, reason, status, wait: this.wait};
    const end = sendErrorResponse({response, ...details});
    this.report(end.outcome, reason, end.status);
  }

  private handleDisconnect(): void {
    if (this.isDone) {
      return;
    }
    this.markDone();
    this.sender.attempt?.stop('the caller disconnected');
    this.report('gone', 'the caller disconnected', 0);
  }

  private finish(status: number): void {
    this.markDone();
    this.report('answered', 'whole', status);
  }

  private markDone(): void {
    this.isDone = true;
    this.relay.reset();
    this.retryWait.end();
    this.policy.cancelGrant();
    this.wait.end();
    this.trial.end();
    clearTimeout(this.timer);
  }

  private report(
    outcome: RequestResult['outcome'],
    reason: string,
    status: number,
  ): void {
    const {clock, onDone, forecast} = this.options;
    const {timeToFirstEventMs} = this.history;
    if (timeToFirstEventMs !== undefined) {
      forecast.recordFirstEventMs(this.work, timeToFirstEventMs);
    }
    onDone({outcome, reason, status, ...this.history.describe(clock.now())});
  }
}
