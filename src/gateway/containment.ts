/** What this gateway knows and does about requests under which backend servers end. */
import {CrashReport} from '../protocol/crash_report';
import {SuspectUpdate} from '../protocol/suspect_update';
import {TrialVerdict} from '../protocol/trial_verdict';
import {BreakWitness} from './break_witness';
import {BrokenRun} from './broken_run';
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
  readonly witness: BreakWitness;
  readonly calls: SuspectCalls;
  /** Told of a backend server that has ended. */
  readonly onEnded: (incarnation: string) => void;
}

/** One for all requests of a gateway. */
export class Containment {
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
  static create(options: ContainmentOptions): Containment {
    return new Containment(options);
  }

  /** The newest list of control that is held here. */
  get version(): number {
    return this.list.version;
  }

  /** Takes what control tells. */
  apply(news: SuspectUpdate): void {
    this.list.apply(news);
  }

  /** Whether a request may be sent freely, on trial only, or never. */
  find(identity: RequestIdentity): ReturnType<SuspectList['find']> {
    return this.list.find(identity);
  }

  /**
   * Takes note of a run whose connection broke. Until it is known that its backend
   * server lives, a request that had not begun may be what ended it.
   */
  async recordBreak(run: BrokenRun): Promise<void> {
    const fate = await this.options.witness.findFate(run);
    if (fate !== 'ended') {
      return;
    }
    this.options.onEnded(run.target.incarnation);
    this.reporter.recordCrash(run);
    if (!run.hasBegun) {
      this.list.add(run.name);
    }
  }

  /** Asks for the right to send a suspect to one backend server; nobody answers for control while it is away. */
  async askTrial(name: string, incarnation: string): Promise<TrialVerdict> {
    if (this.reporter.isWaiting(name)) {
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
  release(name: string): void {
    this.reporter.release(name);
  }

  /** A request that was there when a backend server ended has run to its end. */
  clear(name: string): void {
    this.list.remove(name);
    this.reporter.clear(name);
  }

  /** Tells control nothing any more. */
  close(): void {
    this.reporter.close();
  }
}
