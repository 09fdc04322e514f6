/** Parts of prompts that were present when backend servers crashed, as listed by control. */
import {SuspectPart} from '../../protocol/suspect_part';
import {RequestIdentity} from './request_identity';
import {SuspectStatus} from './suspect_status';
import {TrialSubject} from './trial_subject';

/** Checked for each request; empty as a rule. */
export class SuspectParts {
  private readonly listed = new Map<string, SuspectPart>();

  private constructor() {}

  /**
   * Creates an empty list.
   *
   * @example
   * const parts = SuspectParts.create();
   * parts.findStatus(identity); // 'free'
   */
  static create(): SuspectParts {
    return new SuspectParts();
  }

  clear(): void {
    this.listed.clear();
  }

  set(parts: readonly SuspectPart[]): void {
    parts.forEach(part => this.listed.set(part.name, part));
  }

  remove(name: string): void {
    this.listed.delete(name);
  }

  /** Parts of a request that a response to it proves harmless. */
  list({parts}: RequestIdentity): string[] {
    return this.listed.size === 0
      ? []
      : parts.filter(name => this.listed.has(name));
  }

  /** Returns how a request may be treated for its parts. */
  findStatus(identity: RequestIdentity): SuspectStatus {
    const statuses = this.list(identity).map(name =>
      this.findPartStatus(name, identity),
    );
    return (
      statuses.find(status => status === 'convicted') ??
      statuses.find(status => status === 'suspected') ??
      'free'
    );
  }

  /** Returns the part for which a request needs a trial; undefined if there is none. */
  findTrialSubject(identity: RequestIdentity): TrialSubject | undefined {
    const name = this.list(identity).find(
      part => this.findPartStatus(part, identity) === 'suspected',
    );
    return name === undefined
      ? undefined
      : {
          name,
          request: identity.name,
          isUncovered: this.listed.get(name)?.standing === 'convicted',
        };
  }

  private findPartStatus(
    name: string,
    {parts, caller}: RequestIdentity,
  ): SuspectStatus {
    const part = this.listed.get(name);
    if (!part || part.standing === 'watched') {
      return 'free';
    }
    const isCovered =
      part.companions.every(companion => parts.includes(companion)) &&
      (part.caller === undefined || part.caller === caller);
    return part.standing === 'convicted' && isCovered
      ? 'convicted'
      : 'suspected';
  }
}
