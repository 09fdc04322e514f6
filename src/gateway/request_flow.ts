/** Carries one request through: attempts, repeats, resumed streams, its final answer. */
import {GatewayTarget} from '../protocol/gateway_target';
import {AnswerHead} from './answer_head';
import {Attempt} from './attempt';
import {AttemptEnd} from './attempt_end';
import {computeRetryAfterMs} from './compute_retry_after_ms';
import {computeStallMs} from './compute_stall_ms';
import {createTargetKey} from './create_target_key';
import {EventSplitter} from './event_splitter';
import {FlowCourse} from './flow_course';
import {FlowResult} from './flow_result';
import {HeldBody} from './held_body';
import {RequestFlowOptions} from './request_flow_options';
import {StallJudge} from './stall_judge';

/** Sendings that were refused as not run do not count as runs, but end here. */
const MAX_REFUSALS = 3;
/** Part of the objective for which a request waits for a place before it is refused: a refusal must come early to be of use. */
const WAIT_SHARE = 0.12;

/** How long what has begun waits for somebody to go on with it: a repair takes about a second and a half, and callers leave after a pause of two. */
const REPAIR_WAIT_MS = 1_900;

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
  private head: AnswerHead | undefined;
  private splitter = EventSplitter.create();
  private held = HeldBody.create();
  private lastEventId: string | undefined;
  private runs = 0;
  private refusals = 0;
  private readonly tried = new Set<string>();
  private readonly course: FlowCourse;
  private readonly deadlineAt: number;
  private readonly timer: NodeJS.Timeout;
  private readonly stall: StallJudge;
  /** Set while it waits for a place at a backend server. */
  private waitingUntil: number | undefined;
  /** When the last attempt was sent or heard from. */
  private quietSince = -Infinity;
  private isDone = false;

  private constructor(private readonly options: RequestFlowOptions) {
    const {request, route, arrivedAt, clock, answer, pool, board} = options;
    const holdMs = Math.min(route.timeoutMs, request.waitMs ?? Infinity);
    this.deadlineAt = arrivedAt + holdMs;
    this.course = FlowCourse.create(arrivedAt);
    this.lastEventId = request.lastEventId;
    this.stall = StallJudge.create(board, {
      stallMs: computeStallMs(pool.engine, request.model),
      objectiveMs: route.objectiveMs,
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
    if (this.waitingUntil !== undefined) {
      this.checkWaiting(now, this.waitingUntil);
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

  private checkWaiting(now: number, until: number): void {
    const target = this.findTarget(this.course.wasSent);
    if (!target && now < until) {
      return;
    }
    this.waitingUntil = undefined;
    if (target) {
      this.sendTo(target);
    } else {
      this.giveUp('nobody had a place for it in time');
    }
  }

  /** A stream that stopped goes on elsewhere, if it may and somebody can take it. */
  private checkStall(now: number): void {
    const {attempt} = this;
    const {route, board} = this.options;
    const canGoElsewhere =
      route.kind === 'stream' &&
      route.isResumable &&
      this.runs + 1 < route.maxAttempts;
    if (!attempt || !canGoElsewhere || !this.stall.isStalled(attempt, now)) {
      return;
    }
    board.recordStalled(attempt.target.incarnation);
    if (this.findTarget(true)) {
      const quietMs = Math.round(now - attempt.quietSince);
      attempt.stop(`silent for ${quietMs} ms`);
    }
  }

  /** Sends to the best target; the first time also waits a little for a place. */
  private sendOn(whyNot: string): void {
    const {route, clock} = this.options;
    // What has begun elsewhere is worth more than what has not begun at all.
    const mayQueue = this.course.wasSent;
    const target = this.findTarget(mayQueue);
    if (target) {
      this.sendTo(target);
    } else if (!mayQueue && this.findTarget(true)) {
      this.waitingUntil = clock.now() + route.objectiveMs * WAIT_SHARE;
    } else if (this.canAwaitRepair) {
      this.waitingUntil = this.quietSince + REPAIR_WAIT_MS;
    } else {
      this.giveUp(whyNot);
    }
  }

  /** What an engine has begun may go on once a group of the model is formed anew. */
  private get canAwaitRepair(): boolean {
    const {pool, clock} = this.options;
    const isInTime = clock.now() < this.quietSince + REPAIR_WAIT_MS;
    return pool.engine !== undefined && this.runs > 0 && isInTime;
  }

  private sendTo(target: GatewayTarget): void {
    const {options} = this;
    const {request, board, clock} = options;
    this.tried.add(createTargetKey(target));
    const {incarnation} = target;
    this.course.recordTarget(incarnation, board.countRunning(incarnation));
    this.splitter = EventSplitter.create();
    this.held = HeldBody.create();
    this.attempt = Attempt.create({
      request,
      body: options.body,
      target,
      workspace: options.workspace,
      remainingMs: Math.max(1, Math.floor(this.deadlineAt - clock.now())),
      lastEventId: this.lastEventId,
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
    const {answer} = this.options;
    if (answer.hasBegun && !(head.isEventStream && head.isFramed)) {
      this.attempt?.stop(`status ${head.status} in place of the rest`);
      return;
    }
    // A resumed stream keeps the head of its first backend server.
    if (!answer.hasBegun) {
      this.head = head;
    }
  }

  private handleData(chunk: Buffer): void {
    if (this.head?.isEventStream) {
      this.splitter
        .split(chunk)
        .forEach(event => this.passEvent(event.bytes, event.id));
      return;
    }
    if (!this.held.add(chunk)) {
      this.attempt?.stop('the answer is too large to hold');
    }
  }

  private passEvent(bytes: Buffer, id: string | undefined): void {
    const {answer, clock} = this.options;
    if (this.isDone || !this.head) {
      return;
    }
    if (!answer.hasBegun) {
      answer.begin(this.head);
    }
    this.course.recordEvent(clock.now());
    this.lastEventId = id ?? this.lastEventId;
    const {attempt} = this;
    if (!answer.write(bytes) && attempt) {
      attempt.pause();
      answer.watchRoom(() => attempt.resume());
    }
  }

  private handleEnd(end: AttemptEnd): void {
    this.quietSince = this.attempt?.quietSince ?? this.quietSince;
    this.attempt = undefined;
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

  private finishWhole(mayRepeat: boolean): void {
    const {answer} = this.options;
    const {head} = this;
    if (!head) {
      this.giveUp('an answer without a head');
      return;
    }
    if (head.isEventStream) {
      if (this.splitter.pendingBytes > 0) {
        this.repeat('the stream ends within an event', mayRepeat);
        return;
      }
      if (!answer.hasBegun) {
        answer.begin(head);
      }
      answer.end();
      this.finish('answered', 'whole', head.status);
      return;
    }
    const isFailure = head.status >= 500;
    if (isFailure && mayRepeat && this.takeRepeat()) {
      this.sendOn('no other backend server');
      return;
    }
    answer.sendWhole(head, this.held.copyWhole());
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

  /** What has begun breaks off, since nothing else tells that it is not whole. */
  private sendFinal(reason: string, status: number): void {
    const {answer, request, clock} = this.options;
    if (answer.hasBegun) {
      answer.breakOff();
      this.tell('failed', reason, 0);
      return;
    }
    const isNotRun = status === NOT_RUN;
    const leftMs = this.deadlineAt - clock.now();
    const retryAfterMs = isNotRun ? computeRetryAfterMs(leftMs) : undefined;
    answer.sendOwn({status, reason, retryAfterMs}, request.id);
    this.tell(isNotRun ? 'refused' : 'failed', reason, status);
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
    this.waitingUntil = undefined;
    clearTimeout(this.timer);
  }

  private tell(outcome: Outcome, reason: string, status: number): void {
    const {clock, onDone} = this.options;
    onDone({outcome, reason, status, ...this.course.describe(clock.now())});
  }
}
