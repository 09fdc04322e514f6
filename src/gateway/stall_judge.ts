/** Decides whether a backend server stopped in the middle of a stream. */
import {Attempt} from './attempt';
import {TargetBoard} from './target_board';

/** The times that matter for one request. */
interface StallTimes {
  /** The longest pause of a healthy stream. */
  readonly stallMs: number;
  /** The longest that a first event took lately, or should take where none was seen. */
  readonly findStartMs: () => number;
}

/** Judges one request's attempts. */
export class StallJudge {
  private constructor(
    private readonly board: TargetBoard,
    private readonly times: StallTimes,
  ) {}

  /**
   * Creates a judge for one request.
   *
   * @example
   * const stall = StallJudge.create(board, {stallMs: 150, findStartMs: () => 400});
   */
  static create(board: TargetBoard, times: StallTimes): StallJudge {
    return new StallJudge(board, times);
  }

  /**
   * A stream that pauses for longer than a pass can take, while nothing else
   * comes from there, has stopped. Before the first event a queue explains as
   * much as it did for others lately.
   */
  isStalled(attempt: Attempt, now: number): boolean {
    const {board} = this;
    const {stallMs, findStartMs} = this.times;
    const {incarnation} = attempt.target;
    const isExpected = attempt.hasStarted || board.isStalled(incarnation);
    const limitMs = isExpected ? stallMs : Math.max(stallMs, findStartMs());
    const isTargetSilent = now - board.findHeardAt(incarnation) > stallMs;
    return now - attempt.quietSince > limitMs && isTargetSilent;
  }
}
