/** What a control process writes of itself: enough to explain a quorum that does not decide. */
import {Clock} from '../common/clock';
import {EventRing} from '../common/event_ring';
import {ThrottledEventLog} from '../common/throttled_event_log';
import {RaftMessage} from '../protocol/raft_message';
import {ControlDataFolder} from '../state/control_data_folder';
import {RaftRuntime} from './raft_runtime';

/** A call that was not carried out. */
interface RefusedCall {
  /** Type of the call. */
  readonly ask: string;
  readonly reason: string;
  readonly voters: readonly string[];
  readonly raft: RaftRuntime['raft'] | undefined;
}

/** Writes lines under the identity of one process. */
export class ControlLog {
  private readonly lines: ThrottledEventLog;

  private constructor(
    private readonly identity: string,
    private readonly events: EventRing,
    clock: Clock,
  ) {
    this.lines = ThrottledEventLog.create(events, clock);
  }

  /**
   * Creates a log that writes into `events`.
   *
   * @example
   * const log = ControlLog.create('control-a/1f0c', events, clock);
   */
  static create(identity: string, events: EventRing, clock: Clock): ControlLog {
    return new ControlLog(identity, events, clock);
  }

  record(type: string, reason: string): void {
    this.events.record({type, subject: 'control', id: this.identity, reason});
  }

  /** What the disk knows of before: without it a quorum that does not come together cannot be explained. */
  recordRecovered({log, snapshots}: ControlDataFolder): void {
    const {term, votedFor = '', commitIndex, entries} = log.recovered;
    this.events.record({
      type: 'state-recovered',
      subject: 'control',
      id: this.identity,
      reason: snapshots.current ? 'its disk knows a quorum' : 'its disk is new',
      details: {
        term,
        votedFor,
        commitIndex,
        entries: entries.length,
        snapshot: snapshots.current?.index ?? -1,
        voters: Object.values(snapshots.current?.voters ?? {}).join(' '),
      },
    });
  }

  /** A call that the leader itself did not carry out looks to its caller as if this process did not lead. */
  recordRefusal({ask, reason, voters, raft}: RefusedCall): void {
    this.lines.record(`${ask} ${reason}`, {
      type: 'call-not-carried-out',
      subject: 'control',
      id: this.identity,
      reason,
      details: {
        ask,
        term: raft?.term ?? 0,
        committed: raft?.commitIndex ?? 0,
        voters: voters.join(' '),
        isChangingVoters: raft?.isChangingVoters ?? false,
      },
    });
  }

  /** While there is no leader the refused votes tell why. */
  recordRefusedVote(from: string, message: RaftMessage): void {
    if (message.type !== 'vote-answer' || message.isGranted) {
      return;
    }
    const {term, isPreVote, refusal = ''} = message;
    this.lines.record(`vote ${from} ${refusal}`, {
      type: 'vote-refused',
      subject: 'control',
      id: this.identity,
      reason: refusal,
      details: {from, term, isPreVote},
    });
  }

  /** What a message led to here; its sender only sees its connection end. */
  recordFailure(from: string, error: Error): void {
    this.lines.record('message', {
      type: 'message-failed',
      subject: 'control',
      id: this.identity,
      reason: error.message,
      details: {from},
    });
  }
}
