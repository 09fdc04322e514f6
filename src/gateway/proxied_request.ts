/** Proxies one request: its attempts, retries, resumed streams and final response. */
import {FaultBoundary} from '../common/fault_boundary';
import {runEach} from '../common/run_each';
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
import {RequestMonitor} from './request_monitor';
import {RequestHistory} from './request_history';
import {RequestCompletion} from './request_completion';
import {RequestSender} from './request_sender';
import {ResponseHead} from './response_head';
import {ResponseRelay} from './responses/response_relay';
import {RequestDispatcher} from './request_dispatcher';
import {SuspectTrial} from './crashes/suspect_trial';

const NO_TRIAL_REASON = 'a backend server ended under it, and no other is free';

/** The state machine of one request, from its arrival until its caller has a final response. */
export class ProxiedRequest {
  /** Whatever calls back for this request runs within it. */
  private readonly boundary = FaultBoundary.create(fault =>
    this.endAfterFault(fault),
  );
  private readonly sender: RequestSender;
  private readonly relay: ResponseRelay;
  private readonly history: RequestHistory;
  private readonly policy: RetryPolicy;
  private readonly retryWait: RetryWait;
  private readonly trial: SuspectTrial;
  private readonly crashCheck: CrashCheck;
  private readonly deadlineAt: number;
  private readonly timer: NodeJS.Timeout;
  private readonly monitor: RequestMonitor;
  private readonly wait: SlotWait;
  private readonly dispatcher: RequestDispatcher;
  private readonly completion: RequestCompletion;
  private isDone = false;

  private constructor(private readonly options: ProxiedRequestOptions) {
    const {request, clock, response} = options;
    const {boundary} = this;
    const policies = createRequestPolicies(options);
    this.deadlineAt = policies.deadlineAt;
    this.history = policies.history;
    this.policy = policies.policy;
    this.retryWait = RetryWait.create({policy: this.policy, clock});
    this.wait = policies.wait;
    this.completion = RequestCompletion.create({
      ...policies,
      context: options,
    });
    this.trial = SuspectTrial.create({...options, boundary});
    this.crashCheck = CrashCheck.create({...options, trial: this.trial});
    this.relay = ResponseRelay.create({
      boundary,
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
      boundary,
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
      boundary,
      context: options,
      sender: this.sender,
      onRefused: reason => this.fail(reason),
    });
    this.monitor = RequestMonitor.create({
      ...policies,
      context: options,
      sender: this.sender,
      dispatcher: this.dispatcher,
      retryWait: this.retryWait,
      trial: this.trial,
      relay: this.relay,
      onConvicted: () => this.end(CONVICTED_REASON, ERROR_STATUS.cannotBeRun),
      onFree: () => this.dispatch(),
      onTrialOver: () => this.fail(NO_TRIAL_REASON),
    });
    response.watchDisconnect(boundary.wrap(() => this.handleDisconnect()));
    this.timer = setTimeout(
      () =>
        this.abandon('the time for the request is over', ERROR_STATUS.timedOut),
      Math.max(0, this.deadlineAt - clock.now()),
    );
  }

  /**
   * Starts to proxy a request.
   *
   * @example
   * const proxied = ProxiedRequest.create(options);
   */
  static create(options: ProxiedRequestOptions): ProxiedRequest {
    const proxied = new ProxiedRequest(options);
    proxied.boundary.run(() => {
      options.budget.recordRequest();
      proxied.dispatch();
    });
    return proxied;
  }

  /** True once the caller has its final response or has disconnected. */
  get isFinished(): boolean {
    return this.isDone;
  }

  /** Advances waits, trials and stall detection; called every few milliseconds. */
  check(now: number): void {
    this.boundary.run(() => this.monitor.check(now));
  }

  /**
   * Ends the request now, whatever its backend server does.
   *
   * @param status sent to the caller if the response has not begun
   */
  abandon(reason: string, status?: number): void {
    this.boundary.run(() => this.end(reason, status ?? this.errorStatus));
  }

  private end(reason: string, status: number): void {
    if (this.isDone) {
      return;
    }
    const {attempt} = this.sender;
    this.markDone();
    attempt?.stop(reason);
    this.completion.sendError(reason, status);
  }

  /** Sends to the best target; a request that no engine has begun may first wait for a free slot. */
  private dispatch(reason?: string): void {
    const {containment, identity, clock} = this.options;
    if (containment.findStatus(identity) !== 'free') {
      this.trial.beginWaiting(clock.now());
      return this.monitor.check(clock.now());
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
      response.watchDrain(this.boundary.wrap(() => attempt.resume()));
    }
  }

  private handleEnd(end: AttemptOutcome): void {
    const {attempt} = this.sender;
    this.sender.attempt = undefined;
    const hasRun = end.kind !== 'not-run';
    // Recorded before anything can fail, since the final answer depends on it.
    if (hasRun) {
      this.policy.recordRun();
    }
    if (end.kind !== 'whole') {
      this.relay.reset();
    }
    if (end.received !== undefined) {
      this.history.recordReceived(end.received);
    }
    this.trial.end();
    this.wait.recordSlotFreed(end, this.history.eventsOfOneAttempt);
    if (!hasRun && attempt && this.dispatcher.canQueue && !this.isDone) {
      this.dispatcher.retry(attempt.target, end.reason);
    } else if (end.isConnectionLost && attempt) {
      this.boundary.watch(this.handleConnectionLoss(attempt, end.reason));
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
    this.completion.sendError(reason, this.errorStatus);
  }

  /** 503 only for a request that was certainly not executed. */
  private get errorStatus(): number {
    const {attempt} = this.sender;
    const isSent = attempt !== undefined && !attempt.isWaiting;
    const mayHaveRun =
      this.policy.mayHaveRun || isSent || this.crashCheck.isRunning;
    return mayHaveRun ? ERROR_STATUS.failed : ERROR_STATUS.notRun;
  }

  /** Ends the request alone after an error on its way, and returns all that it holds. */
  private endAfterFault(error: Error): void {
    const {attempt} = this.sender;
    const mayHaveRun =
      this.policy.mayHaveRun ||
      this.crashCheck.isRunning ||
      (attempt?.wasWritten ?? false);
    this.isDone = true;
    this.completion.endAfterFault({
      error,
      mayHaveRun,
      releases: [
        ...this.listReleases(),
        reason => attempt?.stop(reason),
        // Without effect if the attempt has freed its slot.
        () => this.wait.recordSlotFreed({kind: 'not-run'}, undefined),
      ],
    });
  }

  private handleDisconnect(): void {
    if (this.isDone) {
      return;
    }
    this.markDone();
    this.sender.attempt?.stop('the caller disconnected');
    this.completion.recordDisconnect();
  }

  private finish(status: number): void {
    this.markDone();
    this.completion.recordAnswered(status);
  }

  private markDone(): void {
    this.isDone = true;
    const [fault] = runEach(this.listReleases());
    if (fault) {
      throw fault;
    }
  }

  /** Steps that give back what the request holds beside its attempt. */
  private listReleases(): Array<() => void> {
    return [
      () => this.relay.reset(),
      () => this.retryWait.end(),
      () => this.policy.cancelGrant(),
      () => this.wait.end(),
      () => this.trial.end(),
      () => clearTimeout(this.timer),
    ];
  }
}
