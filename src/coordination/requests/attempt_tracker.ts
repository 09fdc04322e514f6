/** Attempts that were sent to a host process, and how they ended. */
import {RequestOutcome} from '../../protocol/request_outcome';

/** Far longer than any start-by time, so that an attempt is still known when a delayed frame for it arrives. */
const RETENTION_MS = 10 * 60_000;

/** State of one attempt. */
type AttemptState =
  | {readonly status: 'never-started'}
  | {readonly status: 'running'}
  | {readonly status: 'ended'; readonly outcome: RequestOutcome};

interface Entry {
  state: AttemptState;
  readonly recordedAt: number;
}

/** Ensures that each attempt starts at most once, and reports its state. */
export class AttemptTracker {
  private readonly entries = new Map<string, Entry>();

  private constructor() {}

  /**
   * Creates an empty tracker.
   *
   * @example
   * const tracker = AttemptTracker.create();
   */
  static create(): AttemptTracker {
    return new AttemptTracker();
  }

  /** Returns the state of an attempt; undefined if it is unknown. */
  find(attemptId: string): AttemptState | undefined {
    return this.entries.get(attemptId)?.state;
  }

  /** Records the start of an attempt; returns false if it must not start. */
  start(attemptId: string, now: number): boolean {
    if (this.entries.has(attemptId)) {
      return false;
    }
    this.removeExpired(now);
    this.entries.set(attemptId, {state: {status: 'running'}, recordedAt: now});
    return true;
  }

  /** Records how a started attempt ended. */
  end(attemptId: string, outcome: RequestOutcome): void {
    const entry = this.entries.get(attemptId);
    if (entry?.state.status === 'running') {
      entry.state = {status: 'ended', outcome};
    }
  }

  /** Prevents an attempt from starting, unless it has started already; returns its state. */
  recordTombstone(attemptId: string, now: number): AttemptState {
    const known = this.entries.get(attemptId);
    if (known) {
      return known.state;
    }
    this.removeExpired(now);
    const state: AttemptState = {status: 'never-started'};
    this.entries.set(attemptId, {state, recordedAt: now});
    return state;
  }

  private removeExpired(now: number): void {
    for (const [attemptId, entry] of this.entries) {
      if (now - entry.recordedAt < RETENTION_MS) {
        return;
      }
      this.entries.delete(attemptId);
    }
  }
}
