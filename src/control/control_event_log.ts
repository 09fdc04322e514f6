/** Events that a control process logs about itself, sufficient to diagnose a quorum without progress. */
import {AddressError} from '../common/address_error';
import {Clock} from '../common/clock';
import {EventRing} from '../common/event_ring';
import {ThrottledEventLog} from '../common/throttled_event_log';
import {RaftMessage} from '../protocol/raft_message';
import {recordMalformedAddress} from '../reporting/record_malformed_address';
import {ControlDataFolder} from '../state/control_data_folder';
import {RaftRuntime} from './raft_runtime';

/** A call that was refused or failed. */
interface RefusedCall {
  /** Message type of the call. */
  readonly ask: string;
  readonly reason: string;
  readonly voters: readonly string[];
  readonly raft: RaftRuntime['raft'] | undefined;
}

/** Lines of a stack: the message, and where the error comes from. */
const MAX_STACK_LINES = 6;

/** Records events with the identity of one control process. */
export class ControlEventLog {
  private readonly throttledEventLog: ThrottledEventLog;

  private constructor(
    private readonly identity: string,
    private readonly events: EventRing,
    clock: Clock,
  ) {
    this.throttledEventLog = ThrottledEventLog.create(events, clock);
  }

  /**
   * Creates a log that records into `events`.
   *
   * @example
   * const log = ControlEventLog.create('control-a/1f0c', events, clock);
   */
  static create(
    identity: string,
    events: EventRing,
    clock: Clock,
  ): ControlEventLog {
    return new ControlEventLog(identity, events, clock);
  }

  record(type: string, reason: string): void {
    this.events.record({type, subject: 'control', id: this.identity, reason});
  }

  /** Records the state recovered from disk, which helps to diagnose a quorum that does not form. */
  recordRecoveredState({log, snapshots}: ControlDataFolder): void {
    const {term, votedFor = '', commitIndex, entries} = log.recovered;
    this.events.record({
      type: 'state-recovered',
      subject: 'control',
      id: this.identity,
      reason: snapshots.current
        ? 'the disk contains a snapshot of a quorum'
        : 'the disk is empty',
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

  /**
   * Records a call that was refused although this process is the leader; its caller
   * only learns that this process is not the leader.
   */
  recordRefusedCall({ask, reason, voters, raft}: RefusedCall): void {
    this.throttledEventLog.record(`${ask} ${reason}`, {
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

  /** Records a refused vote: such refusals explain why no leader is elected. */
  recordRefusedVote(from: string, message: RaftMessage): void {
    if (message.type !== 'vote-answer' || message.isGranted) {
      return;
    }
    const {term, isPreVote, refusal = ''} = message;
    this.throttledEventLog.record(`vote ${from} ${refusal}`, {
      type: 'vote-refused',
      subject: 'control',
      id: this.identity,
      reason: refusal,
      details: {from, term, isPreVote},
    });
  }

  /** Records that another control process gets no connection, as its address is malformed. */
  recordMalformedAddress(error: AddressError): void {
    recordMalformedAddress(this.throttledEventLog, this.identity, error);
  }

  /** Records a call that does not match its schema; its sender gets the reason. */
  recordInvalidCall(from: string, reason: string): void {
    this.throttledEventLog.record('invalid-call', {
      type: 'call-invalid',
      subject: 'control',
      id: this.identity,
      reason,
      details: {from},
    });
  }

  /** Records an error of this process that ended one call; its sender hears that this process does not lead. */
  recordCallFault(ask: string, error: Error): void {
    const stack = (error.stack ?? '').split('\n', MAX_STACK_LINES).join('\n');
    this.throttledEventLog.record(`call-fault ${ask}`, {
      type: 'call-fault',
      subject: 'control',
      id: this.identity,
      reason: error.message,
      details: {ask, error: error.name, stack},
    });
  }

  /** Records a failure to handle a message; its sender only sees the connection close. */
  recordMessageFailure(from: string, error: Error): void {
    this.throttledEventLog.record('message', {
      type: 'message-failed',
      subject: 'control',
      id: this.identity,
      reason: error.message,
      details: {from},
    });
  }
}
