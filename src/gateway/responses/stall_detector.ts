/**
 * Detects when a backend server, or the connection to it, has stopped
 * responding.
 */
import {Attempt} from '../attempt';
import {LoadBalancer} from '../routing/load_balancer';

/**
 * A silent backend server may take this many times the expected time to start a
 * response.
 */
const START_FACTOR = 2;
/**
 * A silent connection to an active backend server may take this many times the
 * longest recent start.
 */
const CONNECTION_FACTOR = 2;

/** The thresholds for one request. */
interface StallThresholds {
  /** The longest pause of a healthy stream. */
  readonly stallMs: number;
  /**
   * Returns the expected time to the start of a response, or the objective without
   * samples.
   */
  readonly findExpectedStartMs: () => number;
  /** Returns the longest recent time to the start of a response. */
  readonly findLongestStartMs: () => number;
}

/** Checks the attempts of one request. */
export class StallDetector {
  private constructor(
    private readonly balancer: LoadBalancer,
    private readonly thresholds: StallThresholds,
  ) {}

  /**
   * Creates a detector for one request.
   *
   * @example
   * const stall = StallDetector.create(balancer, {stallMs: 150, findExpectedStartMs: () => 200, findLongestStartMs: () => 400});
   */
  static create(
    balancer: LoadBalancer,
    thresholds: StallThresholds,
  ): StallDetector {
    return new StallDetector(balancer, thresholds);
  }

  /**
   * Returns why a stream should fail over to another backend server, if it
   * should, and records a stalled target.
   *
   * @example
   * const reason = stall.findFailoverReason(attempt, clock.now());
   */
  findFailoverReason(attempt: Attempt, now: number): string | undefined {
    const stalled = this.detectStall(attempt, now);
    if (!stalled) {
      return undefined;
    }
    if (stalled === 'target') {
      this.balancer.recordStalled(attempt.target.incarnation);
    }
    return `silent ${stalled} for ${Math.round(now - attempt.quietSince)} ms`;
  }

  /**
   * Detects what has stalled. A stream that pauses for longer than an engine
   * step can take, while its backend server sends nothing on other streams
   * either, has stalled. Before the first event the request may be queued, so
   * twice the expected start time must pass without any bytes. If other streams
   * from there continue, the engine may have preempted the request, which takes
   * as long as a start; after a much longer pause its connection is considered
   * dead.
   *
   * @returns what has stalled; undefined if nothing has
   */
  detectStall(
    attempt: Attempt,
    now: number,
  ): 'target' | 'connection' | undefined {
    const {balancer} = this;
    const {stallMs, findExpectedStartMs, findLongestStartMs} = this.thresholds;
    const {incarnation} = attempt.target;
    const quietMs = now - attempt.quietSince;
    const isEventDue = attempt.hasStarted || balancer.isStalled(incarnation);
    const startMs = Math.max(stallMs, findExpectedStartMs() * START_FACTOR);
    const isTargetSilent =
      now - balancer.findLastActivityAt(incarnation) > stallMs;
    if (isTargetSilent && quietMs > (isEventDue ? stallMs : startMs)) {
      return 'target';
    }
    const longestMs = Math.max(startMs, findLongestStartMs());
    const isTooLong = quietMs > longestMs * CONNECTION_FACTOR;
    // A slow caller pauses its own stream.
    const isReading = !attempt.isWaiting && !attempt.isPaused;
    return isTooLong && isReading && !isTargetSilent ? 'connection' : undefined;
  }
}
