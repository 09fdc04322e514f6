/** What this gateway knows and does about requests under which backend servers end. */
import {CrashReport} from '../protocol/crash_report';
import {SuspectNews} from '../protocol/suspect_news';
import {TrialVerdict} from '../protocol/trial_verdict';
import {CrashDetector} from './crash_detector';
import {InterruptedAttempt} from './interrupted_attempt';
import {RequestIdentity} from './request_identity';
import {SuspectList} from './suspect_list';
import {SuspectReporter} from './suspect_reporter';

/** Control, as far as this concerns it. */
interface SuspectCalls {
  readonly report: (report: {
    readonly crashes: CrashReport[];
    readonly released: string[];
    readonly cleared: string[];
  }) => Promise<unknown>;
  readonly askTrial: (
    name: string,
    incarnation: string,
  ) => Promise<TrialVerdict>;
}

/** What containment works with. */
interface ContainmentOptions {
  readonly detector: CrashDetector;
  readonly calls: SuspectCalls;
  /** Told of a backend server that has ended. */
  readonly onEnded: (incarnation: string) => void;
}

/** One for all requests of a gateway. */
export class CrashContainment {
  private readonly list = SuspectList.create();
  private readonly reporter: SuspectReporter;

  private constructor(private readonly options: ContainmentOptions) {
    this.reporter = SuspectReporter.create(options.calls.report);
  }

  /**
   * Creates a containment that holds nothing against anybody.
   *
   * @example
   * const containment = Containment.create({witness, calls, onEnded});
   */
  static create(options: ContainmentOptions): CrashContainment {
    return new CrashContainment(options);
  }

  /** The newest list of control that is held here. */
  get version(): number {
    return this.list.version;
  }

  /** Takes what control tells. */
  apply(news: SuspectNews): void {
    this.list.apply(news);
  }

  /** Whether a request may be sent freely, on trial only, or never. */
  findStatus(identity: RequestIdentity): ReturnType<SuspectList['findStatus']> {
    return this.list.findStatus(identity);
  }

  /**
   * Takes note of a run whose connection broke. Until it is known that its backend
   * server lives, a request that had not begun may be what ended it.
   */
  async recordConnectionLoss(run: InterruptedAttempt): Promise<void> {
    const fate = await this.options.detector.detectState(run);
    if (fate !== 'ended') {
      return;
    }
    this.options.onEnded(run.target.incarnation);
    this.reporter.recordCrash(run);
    if (!run.hasResponseStarted) {
      this.list.add(run.name);
    }
  }

  /** Asks for the right to send a suspect to one backend server; nobody answers for control while it is away. */
  async askTrial(name: string, incarnation: string): Promise<TrialVerdict> {
    if (this.reporter.isPending(name)) {
      return 'busy';
    }
    const verdict = await this.options.calls
      .askTrial(name, incarnation)
      .catch(() => 'busy' as const);
    if (verdict === 'free') {
      this.list.remove(name);
    } else if (verdict === 'convicted') {
      this.list.markConvicted(name);
    }
    return verdict;
  }

  /** A trial is over: its backend server has begun to answer, or never got it. */
  releaseTrial(name: string): void {
    this.reporter.reportReleased(name);
  }

  /** A request that was there when a backend server ended has run to its end. */
  clearSuspect(name: string): void {
    this.list.remove(name);
    this.reporter.reportCleared(name);
  }

  /** Tells control nothing any more. */
  close(): void {
    this.reporter.close();
  }
}
