/** Requests under which backend servers ended: what is held against each, and what gateways may do with it. */
import {z} from 'zod';
import {CrashEvidence} from '../coordination/requests/crash_evidence';
import {decideVerdict} from '../coordination/requests/decide_verdict';
import {WAVE_MS} from '../coordination/requests/wave_ms';
import {CrashReport} from '../protocol/crash_report';
import {SuspectUpdate} from '../protocol/suspect_update';
import {TrialVerdict} from '../protocol/trial_verdict';
import {listForgotten} from './list_forgotten';
import {Suspect} from './suspect';

/** Ends that are remembered; the loss of every domain at hundreds of hosts makes fewer heads than that. */
const MAX_ENDS = 256;
/** Changes that gateways may have missed; one that missed more gets the whole list. */
const MAX_FREED = 1_024;
/** A gateway that ends in the middle of a trial never says so; a first event takes a second at the most. */
const TRIAL_MS = 10_000;

const End = z.object({
  time: z.number(),
  /** The request that ended it, once that is known. */
  explainedBy: z.string().optional(),
});
type End = z.infer<typeof End>;

const Snapshot = z.object({
  suspects: z.array(z.tuple([z.string(), Suspect])),
  ends: z.array(z.tuple([z.string(), End])),
  freed: z.array(z.tuple([z.string(), z.int()])),
  changes: z.int(),
});

/** A change that people should be able to look up. */
interface VerdictNote {
  readonly name: string;
  readonly type:
    'request-convicted' | 'request-doubted-again' | 'verdict-lifted';
  readonly reason: string;
}

/** Follows from the log alone, so that it outlasts leaders, gateways and power. */
export class SuspectTable {
  private readonly suspects: Map<string, Suspect>;
  private readonly ends: Map<string, End>;
  /** Requests that are no longer held back, with the change that freed them. */
  private freed: Array<readonly [string, number]>;
  private changes: number;
  private notes: VerdictNote[] = [];

  private constructor(snapshot: z.infer<typeof Snapshot>) {
    this.suspects = new Map(snapshot.suspects);
    this.ends = new Map(snapshot.ends);
    this.freed = snapshot.freed;
    this.changes = snapshot.changes;
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

  /** Rises with each change that gateways must know. */
  get version(): number {
    return this.changes;
  }

  /** What is held against a request. */
  find(name: string): Suspect | undefined {
    return this.suspects.get(name);
  }

  /** Everything that is held against anybody, oldest first. */
  list(): ReadonlyArray<readonly [string, Suspect]> {
    return [...this.suspects];
  }

  /** Takes the changes of verdicts since the last call. */
  takeNotes(): readonly VerdictNote[] {
    const {notes} = this;
    this.notes = [];
    return notes;
  }

  /**
   * Notes the end of a backend server and what ran there.
   *
   * @param time committed wall-clock milliseconds
   */
  recordCrash({incarnation, notBegun, begun}: CrashReport, time: number): void {
    const end = this.ends.get(incarnation) ?? {time};
    this.ends.set(incarnation, end);
    this.endTrials(incarnation);
    if (end.explainedBy === undefined) {
      const told = {incarnation, time: end.time};
      notBegun.forEach(name => this.add(name, {...told, hadBegun: false}));
      begun.forEach(name => this.add(name, {...told, hadBegun: true}));
      this.decidePresent(incarnation, time);
    }
    this.expire();
  }

  /** It had not ended after all: what ran there has nothing to do with it. */
  withdraw(incarnation: string): void {
    if (!this.ends.delete(incarnation)) {
      return;
    }
    for (const name of [...this.suspects.keys()]) {
      this.dropEvidence(name, [incarnation], Infinity);
    }
  }

  /** True while an end is remembered and not withdrawn. */
  hasEnded(incarnation: string): boolean {
    return this.ends.has(incarnation);
  }

  /** Gives the right to send a suspect to one backend server, alone of all suspects. */
  beginTrial(name: string, incarnation: string, time: number): TrialVerdict {
    const standing = this.decide(name, time);
    const suspect = this.suspects.get(name);
    if (!suspect) {
      return 'free';
    }
    if (standing === 'convicted') {
      return 'convicted';
    }
    if (this.isBusy(name, incarnation, time)) {
      return 'busy';
    }
    this.suspects.set(name, {...suspect, trial: {incarnation, time}});
    return 'granted';
  }

  /** A suspect cannot be sent to a backend server now; asked again and again, so it changes nothing. */
  isBusy(name: string, incarnation: string, time: number): boolean {
    const suspect = this.suspects.get(name);
    if (!suspect || suspect.standing === 'convicted') {
      return false;
    }
    const isUsed = this.list().some(
      ([other, {trial}]) =>
        trial !== undefined &&
        time - trial.time < TRIAL_MS &&
        (other === name || trial.incarnation === incarnation),
    );
    return isUsed || isHeldBack(suspect, time) || this.ends.has(incarnation);
  }

  /** A trial is over: nothing ended as far as the request has come. */
  release(name: string): void {
    const suspect = this.suspects.get(name);
    if (suspect) {
      this.suspects.set(name, {...suspect, trial: undefined});
    }
  }

  /** It ran to its end elsewhere: nothing is held against it any more. */
  clear(name: string): void {
    if (this.suspects.get(name)?.standing === 'convicted') {
      const reason = 'one like it ran to its end';
      this.notes.push({name, type: 'verdict-lifted', reason});
    }
    this.drop(name);
  }

  /** An operator wants it sent again. */
  revoke(name: string, reason: string): boolean {
    const isKnown = this.suspects.get(name)?.standing === 'convicted';
    if (isKnown) {
      this.drop(name);
      this.notes.push({name, type: 'verdict-lifted', reason});
    }
    return isKnown;
  }

  /** What a gateway needs that knows the list as of a version. */
  describeSince(version: number): SuspectUpdate {
    const oldest = this.freed[0]?.[1] ?? 0;
    const hasAll = this.freed.length < MAX_FREED || version >= oldest;
    const isWhole = version > this.changes || version === 0 || !hasAll;
    const since = isWhole ? 0 : version;
    const changed = this.list().filter(([, {changedAt}]) => changedAt > since);
    const listAs = (wanted: Suspect['standing']) =>
      changed.flatMap(([name, {standing}]) =>
        standing === wanted ? [name] : [],
      );
    const freed = this.freed.filter(
      ([name, at]) => at > since && !this.isHeld(name),
    );
    return {
      version: this.changes,
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
      ends: [...this.ends],
      freed: this.freed.map(([name, at]) => [name, at]),
      changes: this.changes,
    };
  }

  private isHeld(name: string): boolean {
    const standing = this.suspects.get(name)?.standing ?? 'watched';
    return standing !== 'watched';
  }

  private add(name: string, evidence: CrashEvidence): void {
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

  private decidePresent(incarnation: string, now: number): void {
    for (const [name, {crashes}] of this.list()) {
      if (crashes.some(crash => crash.incarnation === incarnation)) {
        this.decide(name, now);
      }
    }
  }

  /** Judges anew what is not convicted, by what is known now. */
  private decide(name: string, now: number): Suspect['standing'] {
    const suspect = this.suspects.get(name);
    if (!suspect || suspect.standing === 'convicted') {
      return suspect?.standing ?? 'watched';
    }
    const {crashes, standing} = suspect;
    const own = new Set(crashes.map(({incarnation}) => incarnation));
    const otherEnds = [...this.ends].flatMap(([incarnation, end]) =>
      end.explainedBy === undefined && !own.has(incarnation) ? [end.time] : [],
    );
    const isAmbiguous = this.hasCompanion(name, suspect);
    const verdict = decideVerdict({own: crashes, now, otherEnds, isAmbiguous});
    if (verdict === standing) {
      return verdict;
    }
    this.changes += 1;
    const changedAt = this.changes;
    this.suspects.set(name, {...suspect, standing: verdict, changedAt});
    if (verdict === 'watched') {
      this.recordFreed(name);
    }
    if (verdict === 'convicted') {
      const reason = `${own.size} backend servers ended under it: ${[...own].join(' ')}`;
      this.notes.push({name, type: 'request-convicted', reason});
      this.explain(name, [...own], now);
    }
    return verdict;
  }

  /** Somebody else was there, not begun either, each time that this one was. */
  private hasCompanion(name: string, {crashes}: Suspect): boolean {
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

  /** Ends that are explained speak against nobody else who was there. */
  private explain(name: string, servers: readonly string[], now: number): void {
    servers.forEach(server => this.setExplained(server, name));
    for (const other of [...this.suspects.keys()]) {
      // A verdict that follows from this one may have changed it meanwhile.
      const isConvicted = this.suspects.get(other)?.standing === 'convicted';
      if (!isConvicted && other !== name) {
        this.dropEvidence(other, servers, now);
        // What ended near it may be explained now.
        this.decide(other, now);
      }
    }
  }

  private dropEvidence(
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
      this.drop(name);
      return;
    }
    // A verdict that rested on it is open again.
    const standing =
      suspect.standing === 'convicted' ? 'suspected' : suspect.standing;
    const isReopened = standing !== suspect.standing;
    this.changes += isReopened ? 1 : 0;
    const changedAt = isReopened ? this.changes : suspect.changedAt;
    this.suspects.set(name, {...suspect, crashes, standing, changedAt});
    if (isReopened) {
      const reason = 'a backend server that had ended under it lives';
      this.notes.push({name, type: 'request-doubted-again', reason});
    }
    this.decide(name, now);
  }

  private setExplained(server: string, by: string): void {
    const end = this.ends.get(server);
    if (end) {
      this.ends.set(server, {time: end.time, explainedBy: by});
    }
  }

  private endTrials(incarnation: string): void {
    for (const [name, {trial}] of this.list()) {
      if (trial?.incarnation === incarnation) {
        this.release(name);
      }
    }
  }

  private drop(name: string): void {
    if (this.isHeld(name)) {
      this.changes += 1;
      this.recordFreed(name);
    }
    this.suspects.delete(name);
  }

  private recordFreed(name: string): void {
    this.freed.push([name, this.changes]);
    this.freed = this.freed.slice(-MAX_FREED);
  }

  private expire(): void {
    listForgotten(this.suspects).forEach(name => this.drop(name));
    for (const oldest of this.ends.keys()) {
      if (this.ends.size <= MAX_ENDS) {
        break;
      }
      this.ends.delete(oldest);
    }
  }
}

/** Two ends speak against it, and whether others end near is not known yet. */
function isHeldBack({crashes}: Suspect, now: number): boolean {
  const notBegun = crashes.filter(({hadBegun}) => !hadBegun);
  const newest = Math.max(...crashes.map(({time}) => time));
  return notBegun.length > 1 && now - newest < WAVE_MS;
}
