/**
 * Requests that ran on backend servers when these crashed, and the parts of their prompts: the
 * evidence against each, its standing, and trials granted to gateways.
 */
import {z} from 'zod';
import {CrashEvidence} from '../coordination/requests/crash_evidence';
import {isPartName} from '../coordination/requests/is_part_name';
import {PartHolder} from '../coordination/requests/part_holder';
import {CrashReport} from '../protocol/crash_report';
import {SuspectUpdate} from '../protocol/suspect_update';
import {TrialVerdict} from '../protocol/trial_verdict';
import {addPartHolder} from './add_part_holder';
import {CrashRecords} from './crash_records';
import {decideStanding} from './decide_standing';
import {isInCrashWindow} from './is_in_crash_window';
import {listSuspectChanges} from './list_suspect_changes';
import {FreedSuspects} from './freed_suspects';
import {hasCommonCause} from './has_common_cause';
import {removePartFromHolders} from './remove_part_from_holders';
import {selectSuspectsToEvict} from './select_suspects_to_evict';
import {Suspect} from './suspect';
import {TrialRequest} from './trial_request';
import {VerdictChange} from './verdict_change';

/** Ends the trial of a gateway that stopped without reporting; the first event of a response takes one second at most. */
const TRIAL_TIMEOUT_MS = 10_000;
/** Crashes of a request after which it gets no trial for one of its parts. */
const MAX_CRASHES_OF_HOLDER = 2;

const Snapshot = z.object({
  suspects: z.array(z.tuple([z.string(), Suspect])),
  ends: CrashRecords.schema,
  freed: FreedSuspects.schema,
  changes: z.int(),
});

/** Derived from the replicated log alone, so it survives a change of leader, a gateway restart and a power loss. */
export class SuspectTable {
  private readonly suspects: Map<string, Suspect>;
  private readonly crashes: CrashRecords;
  private readonly freed: FreedSuspects;
  private changeCount: number;
  private verdictChanges: VerdictChange[] = [];

  private constructor(snapshot: z.infer<typeof Snapshot>) {
    this.suspects = new Map(snapshot.suspects);
    this.crashes = CrashRecords.create(snapshot.ends);
    this.freed = FreedSuspects.create(snapshot.freed);
    this.changeCount = snapshot.changes;
  }

  /**
   * Creates an empty table, or one from a snapshot.
   *
   * @example
   * const table = SuspectTable.create();
   */
  static create(snapshot?: unknown): SuspectTable {
    const empty = {suspects: [], ends: [], freed: [], changes: 0};
    return new SuspectTable(Snapshot.parse(snapshot ?? empty));
  }

  /** Incremented by each change that gateways need to know. */
  get version(): number {
    return this.changeCount;
  }

  /** Returns the evidence against a request, if there is any. */
  find(name: string): Suspect | undefined {
    return this.suspects.get(name);
  }

  /** All requests with evidence against them, oldest first. */
  list(): ReadonlyArray<readonly [string, Suspect]> {
    return [...this.suspects];
  }

  /** Returns the verdict changes since the last call, and clears them. */
  takeVerdictChanges(): readonly VerdictChange[] {
    const {verdictChanges} = this;
    this.verdictChanges = [];
    return verdictChanges;
  }

  /**
   * Records the crash of a backend server and the requests that ran on it.
   *
   * @param time committed wall-clock milliseconds
   */
  recordCrash(
    {incarnation, notBegun, begun, parts = []}: CrashReport,
    time: number,
  ): void {
    const trials = this.endTrials(incarnation);
    const end = this.crashes.add(incarnation, time, trials);
    if (end.explainedBy === undefined) {
      const crash = {incarnation, time: end.time};
      notBegun.forEach(name =>
        this.addEvidence(name, {...crash, hadBegun: false}),
      );
      begun.forEach(name => this.addEvidence(name, {...crash, hadBegun: true}));
      for (const {request, parts: names} of parts) {
        const holder = {incarnation, request, parts: names};
        this.addPartEvidence(holder, {...crash, hadBegun: false});
      }
      this.updateStandings(incarnation, time);
    }
    selectSuspectsToEvict(this.suspects).forEach(name => this.remove(name));
  }

  /** Removes a crash, and all evidence from it, because the backend server turned out to be alive. */
  withdrawCrash(incarnation: string): void {
    if (!this.crashes.remove(incarnation)) {
      return;
    }
    for (const name of [...this.suspects.keys()]) {
      this.removeEvidence(name, [incarnation], Infinity);
    }
  }

  /** Whether a crash of this incarnation is on record and was not withdrawn. */
  hasCrashed(incarnation: string): boolean {
    return this.crashes.has(incarnation);
  }

  /**
   * Grants a trial: the right to send a suspect to one backend server, as the only suspect there.
   */
  beginTrial(trial: TrialRequest, time: number): TrialVerdict {
    const {name, incarnation, request, isUncovered} = trial;
    if (request && this.updateStanding(request, time) === 'convicted') {
      return 'convicted';
    }
    const standing = this.updateStanding(name, time);
    const suspect = this.suspects.get(name);
    if (!suspect) {
      return 'free';
    }
    if (standing === 'convicted' && !isUncovered) {
      return 'convicted';
    }
    if (this.isTrialBlocked(trial, time)) {
      return 'busy';
    }
    this.suspects.set(name, {...suspect, trial: {incarnation, time}});
    return 'granted';
  }

  /** Whether a suspect can't be sent to a backend server now. Waiting gateways ask repeatedly, so it changes nothing. */
  isTrialBlocked(trial: TrialRequest, time: number): boolean {
    const {name, incarnation, request, isUncovered = false} = trial;
    const suspect = this.suspects.get(name);
    const isConvicted = suspect?.standing === 'convicted' && !isUncovered;
    if (!suspect || isConvicted) {
      return false;
    }
    // One more crash of the same request would not tell whether its part is the cause.
    const own = request === undefined ? undefined : this.suspects.get(request);
    if (own && own.crashes.length >= MAX_CRASHES_OF_HOLDER) {
      return true;
    }
    const isUsed = this.list().some(
      ([other, {trial}]) =>
        trial !== undefined &&
        time - trial.time < TRIAL_TIMEOUT_MS &&
        (other === name || trial.incarnation === incarnation),
    );
    return (
      isUsed || isInCrashWindow(suspect, time) || this.crashes.has(incarnation)
    );
  }

  /** Ends a request's trial without a crash; its evidence and standing stay. */
  endTrial(name: string): void {
    const suspect = this.suspects.get(name);
    if (suspect) {
      this.suspects.set(name, {...suspect, trial: undefined});
    }
  }

  /**
   * Drops all evidence against a request, because it or an identical one ran to completion, or
   * against a part, because the response to a request with it has begun.
   */
  clearSuspect(name: string): void {
    if (isPartName(name)) {
      this.list().forEach(([other, suspect]) =>
        this.setScope(other, removePartFromHolders(suspect, name)),
      );
    }
    if (this.suspects.get(name)?.standing === 'convicted') {
      const reason = isPartName(name)
        ? 'the response to a request with it has begun'
        : 'one like it ran to its end';
      this.verdictChanges.push({name, type: 'verdict-lifted', reason});
    }
    this.remove(name);
  }

  /** Lifts a conviction on an operator's order. Returns false if there was none. */
  revokeVerdict(name: string, reason: string): boolean {
    const isKnown = this.suspects.get(name)?.standing === 'convicted';
    if (isKnown) {
      this.remove(name);
      this.verdictChanges.push({name, type: 'verdict-lifted', reason});
    }
    return isKnown;
  }

  /** Lists the changes for a gateway that knows the list as of `version`. */
  listChangesSince(version: number): SuspectUpdate {
    const hasAll = this.freed.hasAllSince(version);
    const isWhole = version > this.changeCount || version === 0 || !hasAll;
    const since = isWhole ? 0 : version;
    const changed = this.list().filter(([, {changedAt}]) => changedAt > since);
    const freed = this.freed.listSince(since);
    return {
      version: this.changeCount,
      isWhole,
      ...listSuspectChanges(changed),
      freed: isWhole ? [] : freed.filter(name => !this.isListed(name)),
    };
  }

  /** The table as plain data. */
  save(): z.infer<typeof Snapshot> {
    return {
      suspects: [...this.suspects],
      ends: this.crashes.save(),
      freed: this.freed.save(),
      changes: this.changeCount,
    };
  }

  /** Whether gateways know of it: requests only if they are restricted. */
  private isListed(name: string): boolean {
    const standing = this.suspects.get(name)?.standing;
    return (
      standing !== undefined && (isPartName(name) || standing !== 'watched')
    );
  }

  private addPartEvidence(holder: PartHolder, evidence: CrashEvidence): void {
    const trials = this.crashes.listTrials(holder.incarnation);
    for (const part of holder.parts) {
      const inTrial = trials.includes(part) || trials.includes(holder.request);
      this.addEvidence(part, {...evidence, inTrial});
      const suspect = this.suspects.get(part);
      this.setScope(part, suspect && addPartHolder(suspect, holder));
    }
  }

  /** Changes to the requests that a part was in change what a verdict on it covers. */
  private setScope(part: string, changed: Suspect | undefined): void {
    if (changed) {
      this.changeCount += 1;
      this.suspects.set(part, {...changed, changedAt: this.changeCount});
    }
  }

  private addEvidence(name: string, evidence: CrashEvidence): void {
    const suspect = this.suspects.get(name) ?? {
      crashes: [],
      standing: 'watched' as const,
      changedAt: 0,
    };
    const {incarnation} = evidence;
    const known = suspect.crashes.find(
      crash => crash.incarnation === incarnation,
    );
    const hadBegun = evidence.hadBegun && (known?.hadBegun ?? true);
    const others = suspect.crashes.filter(crash => crash !== known);
    const crashes = [...others, {...evidence, hadBegun}];
    this.suspects.set(name, {...suspect, crashes});
  }

  private updateStandings(incarnation: string, now: number): void {
    for (const [name, {crashes}] of this.list()) {
      if (crashes.some(crash => crash.incarnation === incarnation)) {
        this.updateStanding(name, now);
      }
    }
  }

  /** Decides the standing of a request from the current evidence; a conviction stays. */
  private updateStanding(name: string, now: number): Suspect['standing'] {
    const suspect = this.suspects.get(name);
    if (!suspect || suspect.standing === 'convicted') {
      return suspect?.standing ?? 'watched';
    }
    const {standing} = suspect;
    const own = suspect.crashes.map(({incarnation}) => incarnation);
    const {crashes} = this;
    const suspects = this.list();
    const verdict = decideStanding({name, suspect, suspects, crashes, now});
    if (verdict === standing) {
      return verdict;
    }
    this.changeCount += 1;
    const changedAt = this.changeCount;
    this.suspects.set(name, {...suspect, standing: verdict, changedAt});
    if (!this.isListed(name)) {
      this.freed.record(name, this.changeCount);
    }
    if (verdict === 'convicted') {
      const reason = `${own.length} backend servers ended under it: ${own.join(' ')}`;
      this.verdictChanges.push({name, type: 'request-convicted', reason});
      this.explain(name, own, now);
    }
    return verdict;
  }

  /** Attributes crashes to a convicted suspect; they no longer count against suspects without a share in it. */
  private explain(name: string, servers: readonly string[], now: number): void {
    servers.forEach(server => this.crashes.setExplained(server, name));
    for (const [other] of this.list()) {
      // A conviction that follows from this one may have changed its standing meanwhile.
      const suspect = this.suspects.get(other);
      const convicted = this.suspects.get(name);
      const isUnrelated =
        suspect &&
        convicted &&
        !hasCommonCause([other, suspect], [name, convicted]);
      if (other !== name && isUnrelated) {
        this.removeEvidence(other, servers, now);
        // Crashes close in time to its own may now be explained, which changes its verdict.
        this.updateStanding(other, now);
      }
    }
  }

  private removeEvidence(
    name: string,
    servers: readonly string[],
    now: number,
  ): void {
    const suspect = this.suspects.get(name);
    const before = suspect?.crashes ?? [];
    const crashes = before.filter(
      ({incarnation}) => !servers.includes(incarnation),
    );
    if (!suspect || crashes.length === before.length) {
      return;
    }
    if (crashes.length === 0) {
      this.remove(name);
      return;
    }
    // A conviction that relied on the removed evidence is reopened.
    const standing =
      suspect.standing === 'convicted' ? 'suspected' : suspect.standing;
    const isReopened = standing !== suspect.standing;
    this.changeCount += isReopened ? 1 : 0;
    const changedAt = isReopened ? this.changeCount : suspect.changedAt;
    const holders = suspect.holders?.filter(
      ({incarnation}) => !servers.includes(incarnation),
    );
    this.suspects.set(name, {
      ...suspect,
      crashes,
      holders,
      standing,
      changedAt,
    });
    if (isReopened) {
      const reason = 'a backend server that had ended under it lives';
      this.verdictChanges.push({name, type: 'request-doubted-again', reason});
    }
    this.updateStanding(name, now);
  }

  /** Ends the trials at a backend server; returns the suspects that ran there. */
  private endTrials(incarnation: string): string[] {
    const names = this.list().flatMap(([name, {trial}]) =>
      trial?.incarnation === incarnation ? [name] : [],
    );
    names.forEach(name => this.endTrial(name));
    return names;
  }

  private remove(name: string): void {
    if (this.isListed(name)) {
      this.changeCount += 1;
      this.freed.record(name, this.changeCount);
    }
    this.suspects.delete(name);
  }
}
