/** Decides whether a backend server, or the connection to it, has stopped. */
import {Attempt} from './attempt';
import {LoadBalancer} from './load_balancer';

/** How much longer than usual a silent backend server may take to begin. */
const START_MARGIN = 2;
/** How much longer than the longest start lately the silence of one connection must last. */
const CONNECTION_MARGIN = 2;

/** The times that matter for one request. */
interface StallTimes {
  /** The longest pause of a healthy stream. */
  readonly stallMs: number;
  /** How long a first part of an answer takes lately, or should where none was seen. */
  readonly findUsualStartMs: () => number;
  /** The longest that one took lately. */
  readonly findLongestStartMs: () => number;
}

/** Judges one request's attempts. */
export class StallDetector {
  private constructor(
    private readonly board: LoadBalancer,
    private readonly times: StallTimes,
  ) {}

  /**
   * Creates a judge for one request.
   *
   * @example
   * const stall = StallJudge.create(board, {stallMs: 150, findUsualStartMs: () => 200, findLongestStartMs: () => 400});
   */
  static create(board: LoadBalancer, times: StallTimes): StallDetector {
    return new StallDetector(board, times);
  }

  /**
   * Why a stream should go on elsewhere; a target that has stopped is noted.
   *
   * @example
   * const reason = stall.findReasonToLeave(attempt, clock.now());
   */
  findFailoverReason(attempt: Attempt, now: number): string | undefined {
    const stalled = this.detectStall(attempt, now);
    if (!stalled) {
      return undefined;
    }
    if (stalled === 'target') {
      this.board.recordStalled(attempt.target.incarnation);
    }
    return `silent ${stalled} for ${Math.round(now - attempt.quietSince)} ms`;
  }

  /**
   * A stream that pauses for longer than a pass can take, while nothing else
   * comes from there, has stopped. Before the first event a queue explains more,
   * but twice the usual start without a sign of anything is no queue. Where others do hear from there, an engine
   * may have put the request back, which takes as long as a start; a pause much
   * longer than that means that its connection carries nothing any more.
   *
   * @returns what seems to have stopped; undefined for nothing
   */
  detectStall(
    attempt: Attempt,
    now: number,
  ): 'target' | 'connection' | undefined {
    const {board} = this;
    const {stallMs, findUsualStartMs, findLongestStartMs} = this.times;
    const {incarnation} = attempt.target;
    const quietMs = now - attempt.quietSince;
    const isExpected = attempt.hasStarted || board.isStalled(incarnation);
    const startMs = Math.max(stallMs, findUsualStartMs() * START_MARGIN);
    const isTargetSilent =
      now - board.findLastActivityAt(incarnation) > stallMs;
    if (isTargetSilent && quietMs > (isExpected ? stallMs : startMs)) {
      return 'target';
    }
    const longestMs = Math.max(startMs, findLongestStartMs());
    const isTooLong = quietMs > longestMs * CONNECTION_MARGIN;
    // A caller that does not keep up pauses its own stream.
    const isOpen = !attempt.isWaiting && !attempt.isPaused;
    return isTooLong && isOpen && !isTargetSilent ? 'connection' : undefined;
  }
}
