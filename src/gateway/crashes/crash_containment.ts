/**
 * Stops requests that crash the backend servers which attempt them ("queries of
 * death").
 */
import {CrashReport} from '../../protocol/crash_report';
import {SuspectUpdate} from '../../protocol/suspect_update';
import {TrialVerdict} from '../../protocol/trial_verdict';
import {CrashDetector} from './crash_detector';
import {InterruptedAttempt} from '../interrupted_attempt';
import {RequestIdentity} from './request_identity';
import {SuspectList} from './suspect_list';
import {SuspectReporter} from './suspect_reporter';
import {TrialSubject} from './trial_subject';

/** Calls to the control plane. */
interface SuspectCalls {
  readonly report: (report: {
    readonly crashes: CrashReport[];
    readonly released: string[];
    readonly cleared: string[];
  }) => Promise<unknown>;
  readonly askTrial: (
    subject: TrialSubject,
    incarnation: string,
  ) => Promise<TrialVerdict>;
}

/** Dependencies of the containment. */
interface ContainmentOptions {
  readonly detector: CrashDetector;
  readonly calls: SuspectCalls;
  /** Called with the incarnation of a backend server that has crashed. */
  readonly onEnded: (incarnation: string) => void;
}

/** Shared by all requests of a gateway. */
export class CrashContainment {
  private readonly list = SuspectList.create();
  private readonly reporter: SuspectReporter;

  private constructor(private readonly options: ContainmentOptions) {
    this.reporter = SuspectReporter.create(options.calls.report);
  }

  /**
   * Creates a containment without suspects.
   *
   * @example
   * const containment = CrashContainment.create({detector, calls, onEnded});
   */
  static create(options: ContainmentOptions): CrashContainment {
    return new CrashContainment(options);
  }

  /** Version of the control plane's list that is held here. */
  get version(): number {
    return this.list.version;
  }

  /** Applies changes to the list from the control plane. */
  apply(update: SuspectUpdate): void {
    this.list.apply(update);
  }

  /** Returns whether a request may be sent freely, only on trial, or never. */
  findStatus(identity: RequestIdentity): ReturnType<SuspectList['findStatus']> {
    return this.list.findStatus(identity);
  }

  /** Returns the suspect for which a request that is not free needs a trial. */
  findTrialSubject(identity: RequestIdentity): TrialSubject {
    return this.list.findTrialSubject(identity);
  }

  /** Records that the response to a request has begun, which proves all of its parts harmless. */
  recordBegun(identity: RequestIdentity): void {
    this.list.listParts(identity).forEach(name => this.clearSuspect(name));
  }

  /**
   * Handles an attempt whose connection broke. Until the backend server is
   * known to be alive, a request without any response may be what crashed it.
   */
  async recordConnectionLoss(attempt: InterruptedAttempt): Promise<void> {
    const state = await this.options.detector.detectState(attempt);
    if (state !== 'ended') {
      return;
    }
    this.options.onEnded(attempt.target.incarnation);
    this.reporter.recordCrash(attempt);
    if (!attempt.hasResponseStarted) {
      this.list.add(attempt.name);
    }
  }

  /**
   * Requests permission to send a suspect to one backend server; it counts as
   * busy while the control plane is unreachable.
   */
  async askTrial(
    subject: TrialSubject,
    incarnation: string,
  ): Promise<TrialVerdict> {
    const {name} = subject;
    if (this.reporter.isPending(name)) {
      return 'busy';
    }
    const verdict = await this.options.calls
      .askTrial(subject, incarnation)
      .catch(() => 'busy' as const);
    if (verdict === 'free') {
      this.list.remove(name);
    } else if (verdict === 'convicted') {
      this.list.markConvicted(subject.request ?? name);
    }
    return verdict;
  }

  /**
   * Ends a trial: its backend server has begun to respond, or never got the
   * request.
   */
  releaseTrial(name: string): void {
    this.reporter.reportReleased(name);
  }

  /**
   * Records that a request which was running during a crash has completed
   * since, or that a part of one was proved harmless.
   */
  clearSuspect(name: string): void {
    this.list.remove(name);
    this.reporter.reportCleared(name);
  }

  /** Stops reporting to the control plane. */
  close(): void {
    this.reporter.close();
  }
}
