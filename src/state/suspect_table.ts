/** Requests that ran on backend servers when these crashed: the evidence against each, its standing, and trials granted to gateways. */
import {z} from 'zod';
import {CrashEvidence} from '../coordination/requests/crash_evidence';
import {decideCrashVerdict} from '../coordination/requests/decide_crash_verdict';
import {CORRELATED_CRASH_WINDOW_MS} from '../coordination/requests/correlated_crash_window_ms';
import {CrashReport} from '../protocol/crash_report';
import {SuspectUpdate} from '../protocol/suspect_update';
import {TrialVerdict} from '../protocol/trial_verdict';
import {selectSuspectsToEvict} from './select_suspects_to_evict';
import {Suspect} from './suspect';

/** Crashes that are remembered; losing every domain of a fleet of hundreds of hosts takes down fewer group heads than that. */
const MAX_CRASHES = 256;
/** Freed requests that are remembered; a gateway that is further behind gets the whole list. */
const MAX_FREED = 1_024;
/** Ends the trial of a gateway that stopped without reporting; the first event of a response takes one second at most. */
const TRIAL_TIMEOUT_MS = 10_000;

const BackendCrash = z.object({
  time: z.number(),
  /** The request convicted of this crash, once there is one. */
  explainedBy: z.string().optional(),
});
type BackendCrash = z.infer<typeof BackendCrash>;

const Snapshot = z.object({
  suspects: z.array(z.tuple([z.string(), Suspect])),
  ends: z.array(z.tuple([z.string(), BackendCrash])),
  freed: z.array(z.tuple([z.string(), z.int()])),
  changes: z.int(),
});

/** A change of a verdict, to be recorded in the journal. */
interface VerdictChange {
  readonly name: string;
  readonly type:
    'request-convicted' | 'request-doubted-again' | 'verdict-lifted';
  readonly reason: string;
}

/** Derived from the replicated log alone, so it survives a change of leader, a gateway restart and a power loss. */
export class SuspectTable {
  private readonly suspects: Map<string, Suspect>;
  private readonly crashes: Map<string, BackendCrash>;
  /** Requests that are no longer restricted, each with the version that freed it; oldest first. */
  private freed: Array<readonly [string, number]>;
  private changeCount: number;
  private verdictChanges: VerdictChange[] = [];

  private constructor(snapshot: z.infer<typeof Snapshot>) {
    this.suspects = new Map(snapshot.suspects);
    this.crashes = new Map(snapshot.ends);
    this.freed = snapshot.freed;
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
  recordCrash({incarnation, notBegun, begun}: CrashReport, time: number): void {
    const end = this.crashes.get(incarnation) ?? {time};
    this.crashes.set(incarnation, end);
    this.endTrials(incarnation);
    if (end.explainedBy === undefined) {
      const crash = {incarnation, time: end.time};
      notBegun.forEach(name =>
        this.addEvidence(name, {...crash, hadBegun: false}),
      );
      begun.forEach(name => this.addEvidence(name, {...crash, hadBegun: true}));
      this.updateStandings(incarnation, time);
    }
    this.evict();
  }

  /** Removes a crash, and all evidence from it, because the backend server turned out to be alive. */
  withdrawCrash(incarnation: string): void {
    if (!this.crashes.delete(incarnation)) {
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

  /** Grants a trial: the right to send a suspect to one backend server, as the only suspect there. */
  beginTrial(name: string, incarnation: string, time: number): TrialVerdict {
    const standing = this.updateStanding(name, time);
    const suspect = this.suspects.get(name);
    if (!suspect) {
      return 'free';
    }
    if (standing === 'convicted') {
      return 'convicted';
    }
    if (this.isTrialBlocked(name, incarnation, time)) {
      return 'busy';
    }
    this.suspects.set(name, {...suspect, trial: {incarnation, time}});
    return 'granted';
  }

  /** Whether a suspect can't be sent to a backend server now. Waiting gateways ask repeatedly, so it changes nothing. */
  isTrialBlocked(name: string, incarnation: string, time: number): boolean {
    const suspect = this.suspects.get(name);
    if (!suspect || suspect.standing === 'convicted') {
      return false;
    }
    const isUsed = this.list().some(
      ([other, {trial}]) =>
        trial !== undefined &&
        time - trial.time < TRIAL_TIMEOUT_MS &&
        (other === name || trial.incarnation === incarnation),
    );
    return isUsed || isInWindow(suspect, time) || this.crashes.has(incarnation);
  }

  /** Ends a request's trial without a crash; its evidence and standing stay. */
  endTrial(name: string): void {
    const suspect = this.suspects.get(name);
    if (suspect) {
      this.suspects.set(name, {...suspect, trial: undefined});
    }
  }

  /** Drops all evidence against a request, because it or an identical one ran to completion. */
  clearSuspect(name: string): void {
    if (this.suspects.get(name)?.standing === 'convicted') {
      const reason = 'one like it ran to its end';
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
    const oldest = this.freed[0]?.[1] ?? 0;
    const hasAll = this.freed.length < MAX_FREED || version >= oldest;
    const isWhole = version > this.changeCount || version === 0 || !hasAll;
    const since = isWhole ? 0 : version;
    const changed = this.list().filter(([, {changedAt}]) => changedAt > since);
    const listAs = (wanted: Suspect['standing']) =>
      changed.flatMap(([name, {standing}]) =>
        standing === wanted ? [name] : [],
      );
    const freed = this.freed.filter(
      ([name, at]) => at > since && !this.isRestricted(name),
    );
    return {
      version: this.changeCount,
      isWhole,
      suspected: listAs('suspected'),
      convicted: listAs('convicted'),
      freed: isWhole ? [] : freed.map(([name]) => name),
    };
  }

  /** The table as plain data. */
  save(): z.infer<typeof Snapshot> {
    return {
      suspects: [...this.suspects],
      ends: [...this.crashes],
      freed: this.freed.map(([name, at]) => [name, at]),
      changes: this.changeCount,
    };
  }

  private isRestricted(name: string): boolean {
    const standing = this.suspects.get(name)?.standing ?? 'watched';
    return standing !== 'watched';
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
    const {crashes, standing} = suspect;
    const own = new Set(crashes.map(({incarnation}) => incarnation));
    const otherCrashTimes = [...this.crashes].flatMap(([incarnation, end]) =>
      end.explainedBy === undefined && !own.has(incarnation) ? [end.time] : [],
    );
    const isAmbiguous = this.hasOtherPossibleCause(name, suspect);
    const verdict = decideCrashVerdict({
      ownCrashes: crashes,
      now,
      otherCrashTimes,
      isAmbiguous,
    });
    if (verdict === standing) {
      return verdict;
    }
    this.changeCount += 1;
    const changedAt = this.changeCount;
    this.suspects.set(name, {...suspect, standing: verdict, changedAt});
    if (verdict === 'watched') {
      this.recordFreed(name);
    }
    if (verdict === 'convicted') {
      const reason = `${own.size} backend servers ended under it: ${[...own].join(' ')}`;
      this.verdictChanges.push({name, type: 'request-convicted', reason});
      this.explain(name, [...own], now);
    }
    return verdict;
  }

  /** Whether another request that isn't convicted was present at each of these crashes, with evidence at least as strong. */
  private hasOtherPossibleCause(name: string, {crashes}: Suspect): boolean {
    return this.list().some(
      ([other, suspect]) =>
        other !== name &&
        suspect.standing !== 'convicted' &&
        crashes.every(({incarnation, hadBegun}) =>
          suspect.crashes.some(
            crash =>
              crash.incarnation === incarnation &&
              (hadBegun || !crash.hadBegun),
          ),
        ),
    );
  }

  /** Attributes crashes to a convicted request; they no longer count against requests that aren't convicted. */
  private explain(name: string, servers: readonly string[], now: number): void {
    servers.forEach(server => this.setExplained(server, name));
    for (const other of [...this.suspects.keys()]) {
      // A conviction that follows from this one may have changed its standing meanwhile.
      const isConvicted = this.suspects.get(other)?.standing === 'convicted';
      if (!isConvicted && other !== name) {
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
    this.suspects.set(name, {...suspect, crashes, standing, changedAt});
    if (isReopened) {
      const reason = 'a backend server that had ended under it lives';
      this.verdictChanges.push({name, type: 'request-doubted-again', reason});
    }
    this.updateStanding(name, now);
  }

  private setExplained(server: string, by: string): void {
    const end = this.crashes.get(server);
    if (end) {
      this.crashes.set(server, {time: end.time, explainedBy: by});
    }
  }

  private endTrials(incarnation: string): void {
    for (const [name, {trial}] of this.list()) {
      if (trial?.incarnation === incarnation) {
        this.endTrial(name);
      }
    }
  }

  private remove(name: string): void {
    if (this.isRestricted(name)) {
      this.changeCount += 1;
      this.recordFreed(name);
    }
    this.suspects.delete(name);
  }

  private recordFreed(name: string): void {
    this.freed.push([name, this.changeCount]);
    this.freed = this.freed.slice(-MAX_FREED);
  }

  private evict(): void {
    selectSuspectsToEvict(this.suspects).forEach(name => this.remove(name));
    for (const oldest of this.crashes.keys()) {
      if (this.crashes.size <= MAX_CRASHES) {
        break;
      }
      this.crashes.delete(oldest);
    }
  }
}

/** Whether a request was present at two crashes before its response started, and the time in which other crashes count as correlated is not over. */
function isInWindow({crashes}: Suspect, now: number): boolean {
  const notBegun = crashes.filter(({hadBegun}) => !hadBegun);
  const newest = Math.max(...crashes.map(({time}) => time));
  return notBegun.length > 1 && now - newest < CORRELATED_CRASH_WINDOW_MS;
}
