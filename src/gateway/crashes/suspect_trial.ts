/**
 * Sends a suspected request to a backend server only if no other suspect is
 * running there.
 */
import {Clock} from '../../common/clock';
import {FaultBoundary} from '../../common/fault_boundary';
import {GatewayTarget} from '../../protocol/gateway_target';
import {CrashContainment} from './crash_containment';
import {RequestIdentity} from './request_identity';

/**
 * Delay from a crash until its requests are sent again. Crashes with a common
 * cause come close together, so two crashes separated by this delay are
 * independent evidence, and every gateway knows of the first one by then.
 * Streams that were about to start are delayed by as much.
 */
const CRASH_SETTLE_MS = 300;
/**
 * Delay between requests for a trial; a trial lasts until the first event,
 * about 150 ms.
 */
const ASK_INTERVAL_MS = 40;
/** About ten consecutive trials; a pool rarely has more suspects. */
const MAX_WAIT_MS = 2_500;

/** The next step for the request. */
type TrialStep =
  | {readonly kind: 'wait' | 'free' | 'over'}
  | {readonly kind: 'send'; readonly target: GatewayTarget};

/** Dependencies of the trial. */
interface SuspectTrialOptions {
  /** Of the request; takes charge of what runs later. */
  readonly boundary: FaultBoundary;
  readonly containment: CrashContainment;
  readonly identity: RequestIdentity;
  readonly clock: Clock;
}

/** The consecutive trials of one request. */
export class SuspectTrial {
  private waitingSince: number | undefined;
  private notBefore = -Infinity;
  private askedAt = -Infinity;
  private isAsking = false;
  private nextStep: TrialStep | undefined;
  /** The suspect for which a trial was granted. */
  private grantedName: string | undefined;
  /** The request has been a suspect, so its completion clears it. */
  private wasSuspected = false;

  private constructor(private readonly options: SuspectTrialOptions) {}

  /**
   * Creates the trial of a request that is not a suspect.
   *
   * @example
   * const trial = SuspectTrial.create({boundary, containment, identity, clock});
   */
  static create(options: SuspectTrialOptions): SuspectTrial {
    return new SuspectTrial(options);
  }

  /** True while the request waits to be sent. */
  get isWaiting(): boolean {
    return this.waitingSince !== undefined;
  }

  /** True if the request may be sent although it is a suspect. */
  get hasGrant(): boolean {
    return this.grantedName !== undefined;
  }

  /** Records that a backend server may just have crashed on this request. */
  recordConnectionLoss(now: number): void {
    this.wasSuspected = true;
    this.notBefore = now + CRASH_SETTLE_MS;
  }

  /** Starts to wait for a trial. */
  beginWaiting(now: number): void {
    this.wasSuspected = true;
    this.waitingSince = now;
    this.nextStep = undefined;
  }

  /**
   * Returns the next step; polled while the request waits.
   *
   * @param canAwait false if no backend server will become available in time
   * when there is none now
   */
  check(
    now: number,
    canAwait: boolean,
    findTarget: () => GatewayTarget | undefined,
  ): TrialStep {
    const {nextStep} = this;
    this.nextStep = undefined;
    if (nextStep) {
      return this.settle(nextStep);
    }
    const waitedMs = now - Math.max(this.waitingSince ?? now, this.notBefore);
    if (waitedMs > MAX_WAIT_MS && !this.isAsking) {
      return this.settle({kind: 'over'});
    }
    const isDue =
      now >= this.notBefore && now - this.askedAt >= ASK_INTERVAL_MS;
    if (!isDue || this.isAsking) {
      return {kind: 'wait'};
    }
    const target = findTarget();
    if (!target) {
      return canAwait ? {kind: 'wait'} : this.settle({kind: 'over'});
    }
    this.askedAt = now;
    this.isAsking = true;
    this.options.boundary.watch(this.ask(target));
    return {kind: 'wait'};
  }

  /** Frees the backend server for another suspect, since the response has begun. */
  recordResponseStart(): void {
    this.release();
  }

  /** Ends the trial, also of a request that was not sent. */
  end(): void {
    this.waitingSince = undefined;
    this.release();
  }

  /** Records that the request has completed. */
  recordCompletion(): void {
    const {containment, identity} = this.options;
    // A caller may send many identical requests; the completion of one clears
    // all of them.
    if (this.wasSuspected || containment.findStatus(identity) !== 'free') {
      this.grantedName = undefined;
      containment.clearSuspect(identity.name);
    }
  }

  private async ask(target: GatewayTarget): Promise<void> {
    const {containment, identity} = this.options;
    const subject = containment.findTrialSubject(identity);
    const verdict = await containment.askTrial(subject, target.incarnation);
    this.isAsking = false;
    this.grantedName = verdict === 'granted' ? subject.name : undefined;
    if (!this.isWaiting) {
      // The caller left or the time ran out while the control plane decided.
      this.release();
    } else if (verdict === 'granted') {
      this.nextStep = {kind: 'send', target};
    } else if (verdict === 'free') {
      this.nextStep = {kind: 'free'};
    }
  }

  private settle(step: TrialStep): TrialStep {
    this.waitingSince = undefined;
    return step;
  }

  private release(): void {
    const {grantedName} = this;
    if (grantedName !== undefined) {
      this.grantedName = undefined;
      this.options.containment.releaseTrial(grantedName);
    }
  }
}
