/** What a host process remembers of the attempts it was sent. */
import {RequestOutcome} from '../../protocol/request_outcome';

/** Far longer than any start-by time, so that no late frame outlives its tombstone. */
const KEEP_MS = 10 * 60_000;

/** The fate of one attempt. */
type Fate =
  | {readonly status: 'never-started'}
  | {readonly status: 'running'}
  | {readonly status: 'ended'; readonly outcome: RequestOutcome};

interface Entry {
  fate: Fate;
  readonly recordedAt: number;
}

/** Starts each attempt at most once and answers for its fate. */
export class DispatchLedger {
  private readonly entries = new Map<string, Entry>();

  private constructor() {}

  /**
   * Creates an empty ledger.
   *
   * @example
   * const ledger = DispatchLedger.create();
   */
  static create(): DispatchLedger {
    return new DispatchLedger();
  }

  /** The known fate of an attempt. */
  find(attemptId: string): Fate | undefined {
    return this.entries.get(attemptId)?.fate;
  }

  /** Marks an attempt as started; false when it must not be. */
  start(attemptId: string, now: number): boolean {
    if (this.entries.has(attemptId)) {
      return false;
    }
    this.removeOld(now);
    this.entries.set(attemptId, {fate: {status: 'running'}, recordedAt: now});
    return true;
  }

  /** Records how a started attempt ended. */
  end(attemptId: string, outcome: RequestOutcome): void {
    const entry = this.entries.get(attemptId);
    if (entry?.fate.status === 'running') {
      entry.fate = {status: 'ended', outcome};
    }
  }

  /** Promises that an attempt never starts, unless it did; answers its fate. */
  recordTombstone(attemptId: string, now: number): Fate {
    const known = this.entries.get(attemptId);
    if (known) {
      return known.fate;
    }
    this.removeOld(now);
    const fate: Fate = {status: 'never-started'};
    this.entries.set(attemptId, {fate, recordedAt: now});
    return fate;
  }

  private removeOld(now: number): void {
    for (const [attemptId, entry] of this.entries) {
      if (now - entry.recordedAt < KEEP_MS) {
        return;
      }
      this.entries.delete(attemptId);
    }
  }
}
