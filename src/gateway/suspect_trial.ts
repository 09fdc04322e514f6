/** One suspected request's way to a backend server: alone of all suspects there, or not at all. */
import {Clock} from '../common/clock';
import {GatewayTarget} from '../protocol/gateway_target';
import {CrashContainment} from './crash_containment';
import {RequestIdentity} from './request_identity';

/**
 * From an end until what was there is sent on. Ends with one cause come together,
 * so that two ends on both sides of it are independent; and every gateway knows of
 * the first by then. A stream whose first event was due loses that much.
 */
const SETTLE_MS = 300;
/** Between two questions for a place: a trial lasts until a first event, some 150 ms. */
const ASK_EVERY_MS = 40;
/** Some ten trials one after the other; a pool has rarely more suspects than that. */
const LONGEST_WAIT_MS = 2_500;

/** What is to be done next. */
type TrialStep =
  | {readonly kind: 'wait' | 'free' | 'over'}
  | {readonly kind: 'send'; readonly target: GatewayTarget};

/** Whose trial it is. */
interface SuspectTrialOptions {
  readonly containment: CrashContainment;
  readonly identity: RequestIdentity;
  readonly clock: Clock;
}

/** A request that may need trials, one after the other. */
export class SuspectTrial {
  private waitsSince: number | undefined;
  private notBefore = -Infinity;
  private askedAt = -Infinity;
  private isAsking = false;
  private answer: TrialStep | undefined;
  private isGranted = false;
  /** Something was held against it: its end at last clears it. */
  private wasSuspected = false;

  private constructor(private readonly options: SuspectTrialOptions) {}

  /**
   * Creates the trial of a request against which nothing is held yet.
   *
   * @example
   * const trial = SuspectTrial.create({containment, identity, clock});
   */
  static create(options: SuspectTrialOptions): SuspectTrial {
    return new SuspectTrial(options);
  }

  /** It waits to be sent on. */
  get isWaiting(): boolean {
    return this.waitsSince !== undefined;
  }

  /** It may be sent, in spite of what is held against it. */
  get hasGrant(): boolean {
    return this.isGranted;
  }

  /** A backend server may have ended under it just now. */
  recordConnectionLoss(now: number): void {
    this.wasSuspected = true;
    this.notBefore = now + SETTLE_MS;
  }

  /** Begins to wait for a place of its own. */
  beginWaiting(now: number): void {
    this.wasSuspected = true;
    this.waitsSince = now;
    this.answer = undefined;
  }

  /**
   * What is to be done now; called again and again while it waits.
   *
   * @param canAwait false where no backend server now means none in time
   */
  check(
    now: number,
    canAwait: boolean,
    findTarget: () => GatewayTarget | undefined,
  ): TrialStep {
    const {answer} = this;
    this.answer = undefined;
    if (answer) {
      return this.settle(answer);
    }
    const waitedMs = now - Math.max(this.waitsSince ?? now, this.notBefore);
    if (waitedMs > LONGEST_WAIT_MS && !this.isAsking) {
      return this.settle({kind: 'over'});
    }
    const isDue = now >= this.notBefore && now - this.askedAt >= ASK_EVERY_MS;
    if (!isDue || this.isAsking) {
      return {kind: 'wait'};
    }
    const target = findTarget();
    if (!target) {
      return canAwait ? {kind: 'wait'} : this.settle({kind: 'over'});
    }
    this.askedAt = now;
    this.isAsking = true;
    void this.ask(target);
    return {kind: 'wait'};
  }

  /** Its backend server has begun to answer: another suspect may go there. */
  recordResponseStart(): void {
    this.release();
  }

  /** Its run is over, or it was not sent at all. */
  end(): void {
    this.waitsSince = undefined;
    this.release();
  }

  /** It ran to its end. */
  recordCompletion(): void {
    const {containment, identity} = this.options;
    // A caller may send many alike, and one that was under way clears all of them.
    if (this.wasSuspected || containment.findStatus(identity) !== 'free') {
      this.isGranted = false;
      containment.clearSuspect(identity.name);
    }
  }

  private async ask(target: GatewayTarget): Promise<void> {
    const {containment, identity} = this.options;
    const verdict = await containment.askTrial(
      identity.name,
      target.incarnation,
    );
    this.isAsking = false;
    this.isGranted = verdict === 'granted';
    if (!this.isWaiting) {
      // Its caller left, or its time was over, while control thought about it.
      this.release();
    } else if (verdict === 'granted') {
      this.answer = {kind: 'send', target};
    } else if (verdict === 'free') {
      this.answer = {kind: 'free'};
    }
  }

  private settle(step: TrialStep): TrialStep {
    this.waitsSince = undefined;
    return step;
  }

  private release(): void {
    if (this.isGranted) {
      this.isGranted = false;
      this.options.containment.releaseTrial(this.options.identity.name);
    }
  }
}
