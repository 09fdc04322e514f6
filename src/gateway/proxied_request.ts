/** Carries one request through: attempts, repeats, resumed streams, its final answer. */
import {ResponseHead} from './response_head';
import {ResponseRelay} from './response_relay';
import {Attempt} from './attempt';
import {AttemptOutcome} from './attempt_outcome';
import {createRequestPolicies} from './create_request_policies';
import {ERROR_STATUS} from './error_status';
import {RequestHistory} from './request_history';
import {RequestResult} from './request_result';
import {RequestSender} from './request_sender';
import {PlaceWait} from './place_wait';
import {RepeatPolicy} from './repeat_policy';
import {ProxiedRequestOptions} from './proxied_request_options';
import {sendErrorResponse} from './send_error_response';
import {StallJudge} from './stall_judge';
import {SuspectTrial} from './suspect_trial';

/** Told to the caller of a request that is never sent again, too. */
const CONVICTED =
  'backend servers end when they begin this request: it is not sent again';

/** One request under way. */
export class ProxiedRequest {
  private readonly sender: RequestSender;
  private readonly relay: ResponseRelay;
  private readonly course: RequestHistory;
  private readonly policy: RepeatPolicy;
  private readonly trial: SuspectTrial;
  private readonly deadlineAt: number;
  private readonly timer: NodeJS.Timeout;
  private readonly stall: StallJudge;
  private readonly wait: PlaceWait;
  private readonly names: ReturnType<typeof createRequestPolicies>['names'];
  private isDone = false;
  /** It is being found out whether its backend server has ended. */
  private isInDoubt = false;

  private constructor(private readonly options: ProxiedRequestOptions) {
    const {request, clock, response: answer} = options;
    const parts = createRequestPolicies(options);
    this.deadlineAt = parts.deadlineAt;
    this.course = parts.course;
    this.policy = parts.policy;
    this.names = parts.names;
    this.stall = parts.stall;
    this.wait = parts.wait;
    this.trial = SuspectTrial.create(options);
    this.relay = ResponseRelay.create({
      answer,
      lastEventId: request.lastEventId,
      onPassed: hasRoom => this.recordPassed(hasRoom),
    });
    this.sender = RequestSender.create({
      ...parts,
      flow: options,
      readLastEventId: () => this.relay.lastEventId,
      maySend: () => this.maySend,
      onSending: () => {
        this.wait.end();
        this.relay.reset();
      },
      onDenied: () => this.handleDenied(),
      onHead: head => this.handleHead(head),
      onData: chunk => this.handleData(chunk),
      onEnd: end => this.handleEnd(end),
    });
    this.timer = setTimeout(
      () =>
        this.abandon('the time for the request is over', ERROR_STATUS.timedOut),
      Math.max(0, this.deadlineAt - clock.now()),
    );
    answer.watchGone(() => this.leave());
  }

  /**
   * Starts a request.
   *
   * @example
   * const flow = RequestFlow.create(options);
   */
  static create(options: ProxiedRequestOptions): ProxiedRequest {
    const flow = new ProxiedRequest(options);
    options.budget.recordRequest();
    flow.sendOn('no backend server can take it now');
    return flow;
  }

  /** The caller has its final answer, or is gone. */
  get isFinished(): boolean {
    return this.isDone;
  }

  /** Looks whether it must go on waiting or go elsewhere; called every few milliseconds. */
  check(now: number): void {
    const {containment, identity} = this.options;
    const {attempt} = this.sender;
    const hasBegun = attempt?.hasStarted ?? false;
    const standing = hasBegun ? 'free' : containment.find(identity);
    if (standing === 'convicted') {
      this.abandon(CONVICTED, ERROR_STATUS.cannotBeRun);
    } else if (this.trial.isUnderWay) {
      this.checkTrial(now);
    } else if (this.wait.isUnderWay && standing === 'suspected') {
      this.wait.end();
      this.trial.begin(now);
    } else if (this.wait.isUnderWay) {
      this.checkWaiting(now);
    } else if (attempt?.isLeftBehind) {
      attempt.stop('its backend server takes no new work');
    } else {
      this.checkStall(now);
    }
  }

  /**
   * Ends it now, whatever its backend server does.
   *
   * @param status what a caller is told whose answer has not begun
   */
  abandon(reason: string, status = this.unansweredStatus): void {
    if (this.isDone) {
      return;
    }
    const {attempt} = this.sender;
    this.markDone();
    attempt?.stop(reason);
    this.sendFinal(reason, status);
  }

  private checkWaiting(now: number): void {
    const {wait, sender} = this;
    const {wasSent} = this.course;
    const isTurn = (wasSent || wait.isFirst) && !sender.isAskingPermit;
    const target = isTurn ? sender.findTarget(wasSent) : undefined;
    if (target) {
      sender.send(target);
    } else if (!sender.isAskingPermit && !wait.canGoOn(now)) {
      wait.end();
      this.giveUp(sender.explainNoTarget('nobody had a place for it in time'));
    }
  }

  /** Alone of all suspects at its backend server, or not at all. */
  private checkTrial(now: number): void {
    const step = this.trial.check(now, this.canAwaitRepair, () =>
      this.sender.findTarget(this.course.wasSent),
    );
    if (step.kind === 'send') {
      this.sender.send(step.target);
    } else if (step.kind === 'free') {
      this.sendOn('no backend server can take it now');
    } else if (step.kind === 'over') {
      this.giveUp('a backend server ended under it, and no other is free');
    }
  }

  /** A stream that stopped goes on elsewhere, if it may and somebody can take it. */
  private checkStall(now: number): void {
    const {policy, sender} = this;
    const {attempt} = sender;
    if (!attempt || !policy.canGoElsewhere) {
      return;
    }
    const reason = this.stall.findReasonToLeave(attempt, now);
    // Without a repeat left it is better to wait on than to break off.
    if (reason && policy.hasRepeat && sender.findTarget(true, true)) {
      attempt.stop(reason);
    }
  }

  /** What an engine has begun may go on once a group of the model is formed anew. */
  private get canAwaitRepair(): boolean {
    return this.options.pool.engine !== undefined && this.policy.hasRun;
  }

  /** Sends to the best target; the first time also waits a little for a place. */
  private sendOn(whyNot: string): void {
    const {wait, sender} = this;
    const {containment, identity, clock} = this.options;
    if (containment.find(identity) !== 'free') {
      this.trial.begin(clock.now());
      return this.check(clock.now());
    }
    // What has begun elsewhere is worth more than what has not begun at all.
    const mayQueue = this.course.wasSent;
    const isTurn = mayQueue || wait.isFirst;
    const target = isTurn ? sender.findTarget(mayQueue) : undefined;
    if (target) {
      sender.send(target);
    } else if (!mayQueue && sender.findTarget(true) && wait.hasHope) {
      wait.beginInLine();
    } else if (
      !this.canAwaitRepair ||
      !wait.beginForRepair(this.course.passedAt)
    ) {
      this.giveUp(sender.explainNoTarget(whyNot));
    }
  }

  /** Nothing was held against it while it waited for a permit, and its caller is there. */
  private get maySend(): boolean {
    const {containment, identity} = this.options;
    const isFree = this.trial.hasPlace || containment.find(identity) === 'free';
    return !this.isDone && isFree;
  }

  private handleDenied(): void {
    if (this.isDone || this.wait.isUnderWay || this.trial.isUnderWay) {
      return;
    }
    this.trial.end();
    this.sendOn('no backend server can take it now');
  }

  private handleHead(head: ResponseHead): void {
    const wrong = this.relay.acceptHead(head);
    if (wrong) {
      this.sender.attempt?.stop(wrong);
    }
  }

  private handleData(chunk: Buffer): void {
    this.trial.recordBegun();
    const wrong = this.isDone ? undefined : this.relay.acceptData(chunk);
    if (wrong) {
      this.sender.attempt?.stop(wrong);
    }
  }

  private recordPassed(hasRoom: boolean): void {
    const {response: answer, clock} = this.options;
    const {attempt} = this.sender;
    this.course.recordEvent(clock.now());
    if (!hasRoom && attempt) {
      attempt.pause();
      answer.watchRoom(() => attempt.resume());
    }
  }

  private handleEnd(end: AttemptOutcome): void {
    const {attempt} = this.sender;
    this.sender.attempt = undefined;
    this.trial.end();
    if (end.kind !== 'not-run') {
      this.wait.recordPlaceFree();
    }
    if (end.isConnectionLost && attempt) {
      void this.handleBreak(attempt, end.reason);
    } else if (!this.isDone) {
      this.handleOutcome(end);
    }
  }

  private handleOutcome(end: AttemptOutcome): void {
    const {policy} = this;
    if (end.kind === 'not-run') {
      policy.recordRefusal();
      this.repeat(end.reason, policy.canBeRefusedAgain);
      return;
    }
    policy.recordRun();
    if (end.kind === 'broken') {
      this.repeat(end.reason, policy.canRunAgain);
      return;
    }
    this.finishWhole(policy.canRunAgain);
  }

  /**
   * What had not begun may be what ended its backend server, so it waits until
   * that is known; what had begun goes on elsewhere at once.
   */
  private async handleBreak(
    {target, hasStarted: hasBegun}: Attempt,
    reason: string,
  ): Promise<void> {
    const {containment, identity, clock} = this.options;
    const {name} = identity;
    this.course.recordBroken(name);
    this.trial.recordBreak(clock.now());
    const judged = containment.recordBreak({target, name, hasBegun});
    if (!hasBegun) {
      this.isInDoubt = true;
      await judged;
      this.isInDoubt = false;
    }
    if (!this.isDone) {
      this.handleOutcome({kind: 'broken', reason});
    }
  }

  private finishWhole(mayRepeat: boolean): void {
    const {relay} = this;
    const {head} = relay;
    if (!head) {
      this.giveUp('an answer without a head');
      return;
    }
    if (head.isEventStream) {
      if (relay.isWithinEvent) {
        this.repeat('the stream ends within an event', mayRepeat);
        return;
      }
      relay.endStream(head);
      this.trial.recordWhole();
      this.finish(head.status);
      return;
    }
    const isFailure = head.status >= 500;
    this.trial.recordWhole();
    if (isFailure && mayRepeat && this.policy.takeRepeat()) {
      this.sendOn('no other backend server');
      return;
    }
    relay.sendHeld(head);
    this.finish(head.status);
  }

  private repeat(reason: string, isAllowed: boolean): void {
    if (isAllowed && this.policy.takeRepeat()) {
      this.sendOn(reason);
    } else {
      this.giveUp(reason);
    }
  }

  /** The final answer, at once. */
  private giveUp(reason: string): void {
    this.markDone();
    this.sendFinal(reason, this.unansweredStatus);
  }

  /** Only what has not run may be called so. */
  private get unansweredStatus(): number {
    const {attempt} = this.sender;
    const isSent = attempt !== undefined && !attempt.isWaiting;
    const mayHaveRun = this.policy.hasRun || isSent || this.isInDoubt;
    return mayHaveRun ? ERROR_STATUS.failed : ERROR_STATUS.notRun;
  }

  private sendFinal(reason: string, status: number): void {
    const {response: answer, request} = this.options;
    const told = {requestId: request.id, reason, status, wait: this.wait};
    const end = sendErrorResponse({answer, ...told});
    this.tell(end.outcome, reason, end.status);
  }

  private leave(): void {
    if (this.isDone) {
      return;
    }
    const {attempt} = this.sender;
    this.markDone();
    attempt?.stop('the caller left');
    this.tell('gone', 'the caller left', 0);
  }

  private finish(status: number): void {
    this.markDone();
    this.tell('answered', 'whole', status);
  }

  private markDone(): void {
    this.isDone = true;
    this.wait.end();
    this.trial.end();
    clearTimeout(this.timer);
  }

  private tell(
    outcome: RequestResult['outcome'],
    reason: string,
    status: number,
  ): void {
    const {clock, onDone, forecast} = this.options;
    const {workMs} = this.course;
    if (workMs !== undefined) {
      forecast.recordWork(this.names.work, workMs);
    }
    onDone({outcome, reason, status, ...this.course.describe(clock.now())});
  }
}
