/** Decides whether a backend server stopped in the middle of a stream. */
import {Attempt} from './attempt';
import {TargetBoard} from './target_board';

/** Part of the objective after which an unanswered request of a silent target is sent elsewhere. */
const SILENT_START_SHARE = 0.9;

/** The times that matter for one request. */
interface StallTimes {
  /** The longest pause of a healthy stream. */
  readonly stallMs: number;
  /** Time in which the first event should come. */
  readonly objectiveMs: number;
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
   * const stall = StallJudge.create(board, {stallMs: 150, objectiveMs: 400});
   */
  static create(board: TargetBoard, times: StallTimes): StallJudge {
    return new StallJudge(board, times);
  }

  /**
   * A stream that pauses for longer than a pass can take, while nothing else
   * comes from there, has stopped. Before the first event a queue explains more.
   */
  isStalled(attempt: Attempt, now: number): boolean {
    const {board} = this;
    const {stallMs, objectiveMs} = this.times;
    const {incarnation} = attempt.target;
    const isExpected = attempt.hasStarted || board.isStalled(incarnation);
    const limitMs = isExpected
      ? stallMs
      : Math.max(stallMs, objectiveMs * SILENT_START_SHARE);
    const isTargetSilent = now - board.findHeardAt(incarnation) > stallMs;
    return now - attempt.quietSince > limitMs && isTargetSilent;
  }
}
