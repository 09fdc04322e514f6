/** Carries one request through: attempts, repeats, resumed streams, its final answer. */
import {GatewayTarget} from '../protocol/gateway_target';
import {AnswerHead} from './answer_head';
import {AnswerRelay} from './answer_relay';
import {Attempt} from './attempt';
import {AttemptEnd} from './attempt_end';
import {createStallTimes} from './create_stall_times';
import {createTargetKey} from './create_target_key';
import {createWorkNames} from './create_work_names';
import {FlowCourse} from './flow_course';
import {FlowResult} from './flow_result';
import {PlaceWait} from './place_wait';
import {RequestFlowOptions} from './request_flow_options';
import {sendFinalAnswer} from './send_final_answer';
import {StallJudge} from './stall_judge';

/** Sendings that were refused as not run do not count as runs, but end here. */
const MAX_REFUSALS = 3;
/** The status of a request that has not run and never will. */
const NOT_RUN = 503;
/** The status of one that may have run. */
const FAILED = 502;
/** The status of one whose time is over. */
const TIMED_OUT = 504;

type Outcome = FlowResult['outcome'];

/** One request under way. */
export class RequestFlow {
  private attempt: Attempt | undefined;
  private readonly relay: AnswerRelay;
  private runs = 0;
  private refusals = 0;
  private readonly tried = new Set<string>();
  private readonly course: FlowCourse;
  private readonly deadlineAt: number;
  private readonly timer: NodeJS.Timeout;
  private readonly stall: StallJudge;
  private readonly wait: PlaceWait;
  private readonly names: ReturnType<typeof createWorkNames>;
  private isDone = false;

  private constructor(private readonly options: RequestFlowOptions) {
    const {request, route, arrivedAt, clock, answer, pool} = options;
    const {board, forecast, dialect} = options;
    const holdMs = Math.min(route.timeoutMs, request.waitMs ?? Infinity);
    this.deadlineAt = arrivedAt + holdMs;
    this.course = FlowCourse.create(arrivedAt);
    this.relay = AnswerRelay.create({
      answer,
      lastEventId: request.lastEventId,
      onPassed: hasRoom => this.recordPassed(hasRoom),
    });
    const {model, promptTokens} = request;
    this.names = createWorkNames({route, pool, model});
    const {work} = this.names;
    const judged = {route, pool, model, promptTokens, work, forecast};
    const times = createStallTimes(judged);
    this.stall = StallJudge.create(board, times);
    this.wait = PlaceWait.create({
      forecast,
      clock,
      ...this.names,
      objectiveMs: route.objectiveMs,
      arrivedAt,
      deadlineAt: this.deadlineAt,
      honouredPart: dialect.honouredPart,
      patienceMs: dialect.computePatienceMs(route),
      findRepairMs: () => board.findRepairMs(request.model ?? ''),
    });
    this.timer = setTimeout(
      () => this.abandon('the time for the request is over', TIMED_OUT),
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
  static create(options: RequestFlowOptions): RequestFlow {
    const flow = new RequestFlow(options);
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
    if (this.wait.isUnderWay) {
      this.checkWaiting(now);
    } else if (this.isLeftBehind) {
      this.attempt?.stop('its backend server takes no new work');
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
    const {attempt} = this;
    this.markDone();
    attempt?.stop(reason);
    this.sendFinal(reason, status);
  }

  /** It waits for a connection to a backend server that control no longer tells. */
  private get isLeftBehind(): boolean {
    const {attempt} = this;
    const {board} = this.options;
    return (
      attempt !== undefined &&
      attempt.isWaiting &&
      !board.has(attempt.target.incarnation)
    );
  }

  private checkWaiting(now: number): void {
    const {wait} = this;
    const isTurn = this.course.wasSent || wait.isFirst;
    const target = isTurn ? this.findTarget(this.course.wasSent) : undefined;
    if (!target && wait.canGoOn(now)) {
      return;
    }
    wait.end();
    if (target) {
      this.sendTo(target);
    } else {
      this.giveUp('nobody had a place for it in time');
    }
  }

  /** A stream that stopped goes on elsewhere, if it may and somebody can take it. */
  private checkStall(now: number): void {
    const {attempt} = this;
    const {route, board, budget} = this.options;
    const canGoElsewhere =
      route.kind === 'stream' &&
      route.isResumable &&
      this.runs + 1 < route.maxAttempts;
    const stalled =
      attempt && canGoElsewhere && this.stall.findStalled(attempt, now);
    if (!stalled) {
      return;
    }
    if (stalled === 'target') {
      board.recordStalled(attempt.target.incarnation);
    }
    // Without a repeat left it is better to wait on than to break off.
    if (this.findTarget(true) && budget.hasRepeat()) {
      const quietMs = Math.round(now - attempt.quietSince);
      attempt.stop(`silent ${stalled} for ${quietMs} ms`);
    }
  }

  /** What an engine has begun may go on once a group of the model is formed anew. */
  private get canAwaitRepair(): boolean {
    return this.options.pool.engine !== undefined && this.runs > 0;
  }

  /** Sends to the best target; the first time also waits a little for a place. */
  private sendOn(whyNot: string): void {
    const {wait} = this;
    // What has begun elsewhere is worth more than what has not begun at all.
    const mayQueue = this.course.wasSent;
    const isTurn = mayQueue || wait.isFirst;
    const target = isTurn ? this.findTarget(mayQueue) : undefined;
    if (target) {
      this.sendTo(target);
    } else if (!mayQueue && this.findTarget(true) && wait.hasHope) {
      wait.beginInLine();
    } else if (
      !this.canAwaitRepair ||
      !wait.beginForRepair(this.course.passedAt)
    ) {
      this.giveUp(whyNot);
    }
  }

  private sendTo(target: GatewayTarget): void {
    const {options} = this;
    const {request, board, clock} = options;
    this.tried.add(createTargetKey(target));
    const {incarnation} = target;
    const running = board.countRunning(incarnation);
    this.course.recordTarget(incarnation, running, clock.now());
    this.relay.reset();
    this.attempt = Attempt.create({
      request,
      body: options.body,
      target,
      workspace: options.workspace,
      remainingMs: Math.max(1, Math.floor(this.deadlineAt - clock.now())),
      lastEventId: this.relay.lastEventId,
      maxConnections: options.maxConnections,
      origins: options.origins,
      board,
      dialect: options.dialect,
      clock,
      onHead: head => this.handleHead(head),
      onData: chunk => this.handleData(chunk),
      onEnd: end => this.handleEnd(end),
    });
  }

  private findTarget(mayQueue: boolean): GatewayTarget | undefined {
    const {request, pool, board} = this.options;
    return board.choose({
      pool: pool.name,
      mayQueue,
      model: pool.engine ? request.model : undefined,
      excluded: this.tried,
    });
  }

  private handleHead(head: AnswerHead): void {
    const wrong = this.relay.acceptHead(head);
    if (wrong) {
      this.attempt?.stop(wrong);
    }
  }

  private handleData(chunk: Buffer): void {
    const wrong = this.isDone ? undefined : this.relay.acceptData(chunk);
    if (wrong) {
      this.attempt?.stop(wrong);
    }
  }

  private recordPassed(hasRoom: boolean): void {
    const {answer, clock} = this.options;
    const {attempt} = this;
    this.course.recordEvent(clock.now());
    if (!hasRoom && attempt) {
      attempt.pause();
      answer.watchRoom(() => attempt.resume());
    }
  }

  private handleEnd(end: AttemptEnd): void {
    const {attempt} = this;
    this.attempt = undefined;
    if (end.isConnectionLost && attempt) {
      this.recordBreak(attempt);
    }
    if (end.kind !== 'not-run') {
      this.wait.recordPlaceFree();
    }
    if (this.isDone) {
      return;
    }
    if (end.kind === 'not-run') {
      this.refusals += 1;
      this.repeat(end.reason, this.refusals <= MAX_REFUSALS);
      return;
    }
    this.runs += 1;
    const mayRepeat =
      this.isRepeatable && this.runs < this.options.route.maxAttempts;
    if (end.kind === 'broken') {
      this.repeat(end.reason, mayRepeat);
      return;
    }
    this.finishWhole(mayRepeat);
  }

  private recordBreak({target, hasStarted}: Attempt): void {
    const {name} = this.options.identity;
    this.course.recordBroken(name);
    void this.options.witness.findFate({target, name, hasBegun: hasStarted});
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
      this.finish('answered', 'whole', head.status);
      return;
    }
    const isFailure = head.status >= 500;
    if (isFailure && mayRepeat && this.takeRepeat()) {
      this.sendOn('no other backend server');
      return;
    }
    relay.sendHeld(head);
    this.finish('answered', 'whole', head.status);
  }

  private repeat(reason: string, isAllowed: boolean): void {
    if (isAllowed && this.takeRepeat()) {
      this.sendOn(reason);
    } else {
      this.giveUp(reason);
    }
  }

  private takeRepeat(): boolean {
    const {clock, budget} = this.options;
    return clock.now() < this.deadlineAt && budget.takeRepeat();
  }

  private get isRepeatable(): boolean {
    const {route} = this.options;
    return route.kind === 'safe' || route.isResumable;
  }

  /** The final answer, at once. */
  private giveUp(reason: string): void {
    this.markDone();
    this.sendFinal(reason, this.unansweredStatus);
  }

  /** Only what has not run may be called so. */
  private get unansweredStatus(): number {
    const isSent = this.attempt !== undefined && !this.attempt.isWaiting;
    return this.runs > 0 || isSent ? FAILED : NOT_RUN;
  }

  private sendFinal(reason: string, status: number): void {
    const {answer, request} = this.options;
    const told = {requestId: request.id, reason, status, wait: this.wait};
    const end = sendFinalAnswer({answer, ...told});
    this.tell(end.outcome, reason, end.status);
  }

  private leave(): void {
    if (this.isDone) {
      return;
    }
    const {attempt} = this;
    this.markDone();
    attempt?.stop('the caller left');
    this.tell('gone', 'the caller left', 0);
  }

  private finish(outcome: Outcome, reason: string, status: number): void {
    this.markDone();
    this.tell(outcome, reason, status);
  }

  private markDone(): void {
    this.isDone = true;
    this.wait.end();
    clearTimeout(this.timer);
  }

  private tell(outcome: Outcome, reason: string, status: number): void {
    const {clock, onDone, forecast} = this.options;
    const {workMs} = this.course;
    if (workMs !== undefined) {
      forecast.recordWork(this.names.work, workMs);
    }
    onDone({outcome, reason, status, ...this.course.describe(clock.now())});
  }
}
