/**
 * The requests that this gateway must hold back: those listed by the control
 * plane, and its own observations that the control plane may not know yet.
 */
import {SuspectUpdate} from '../../protocol/suspect_update';
import {RequestIdentity} from './request_identity';
import {SuspectParts} from './suspect_parts';
import {SuspectStatus} from './suspect_status';
import {TrialSubject} from './trial_subject';

/**
 * Own observations that the control plane has not judged; it judges within a
 * round trip unless it is unreachable.
 */
const MAX_OWN = 256;

/** Checked for each request. */
export class SuspectList {
  private readonly listed = new Map<string, SuspectStatus>();
  private readonly own = new Set<string>();
  private readonly parts = SuspectParts.create();
  /** Callers with held back requests; bodies of other callers need no digest. */
  private callers = new Set<string>();
  private listVersion = 0;

  private constructor() {}

  /**
   * Creates an empty list.
   *
   * @example
   * const list = SuspectList.create();
   * list.find(identity); // 'free'
   */
  static create(): SuspectList {
    return new SuspectList();
  }

  /** Version of the control plane's list that is held here. */
  get version(): number {
    return this.listVersion;
  }

  /** Returns how a request may be treated. */
  findStatus(identity: RequestIdentity): SuspectStatus {
    const status = this.findRequestStatus(identity);
    const partStatus = this.parts.findStatus(identity);
    return status === 'free' || partStatus === 'convicted'
      ? partStatus
      : status;
  }

  /** Returns the suspect for which a request that is not free needs a trial. */
  findTrialSubject(identity: RequestIdentity): TrialSubject {
    return this.parts.findTrialSubject(identity) ?? {name: identity.name};
  }

  /** Lists the parts of a request that are watched or restricted. */
  listParts(identity: RequestIdentity): string[] {
    return this.parts.list(identity);
  }

  private findRequestStatus(identity: RequestIdentity): SuspectStatus {
    if (this.callers.size === 0 || !this.callers.has(identity.caller)) {
      return 'free';
    }
    const {name} = identity;
    return this.listed.get(name) ?? (this.own.has(name) ? 'suspected' : 'free');
  }

  /**
   * Applies changes from the control plane; ignores those older than the list
   * held here.
   */
  apply(update: SuspectUpdate): void {
    if (update.version < this.listVersion) {
      return;
    }
    if (update.isWhole) {
      this.listed.clear();
      this.parts.clear();
    }
    update.suspected.forEach(name => this.listed.set(name, 'suspected'));
    update.convicted.forEach(name => this.listed.set(name, 'convicted'));
    this.parts.set(update.parts ?? []);
    for (const name of update.freed) {
      this.listed.delete(name);
      this.parts.remove(name);
    }
    this.listVersion = update.version;
    this.indexCallers();
  }

  /** Holds a request back until the control plane has judged it. */
  add(name: string): void {
    this.own.add(name);
    const [oldest] = this.own;
    if (this.own.size > MAX_OWN) {
      this.own.delete(oldest);
    }
    this.indexCallers();
  }

  /** Records a verdict of the control plane that its list may not include yet. */
  markConvicted(name: string): void {
    this.listed.set(name, 'convicted');
    this.indexCallers();
  }

  /** Removes a request that the control plane has cleared or that has completed. */
  remove(name: string): void {
    this.own.delete(name);
    this.listed.delete(name);
    this.parts.remove(name);
    this.indexCallers();
  }

  private indexCallers(): void {
    this.callers = new Set(
      [...this.listed.keys(), ...this.own].map(RequestIdentity.readCaller),
    );
  }
}
