/** Records why there is no leader, for as long as there is none. */
import {Cancel} from '../common/cancel';
import {EventRing} from '../common/event_ring';
import {Timers} from '../common/timers';
import {QuorumStatus} from '../protocol/quorum_status';

const INTERVAL_MS = 1_000;
/** Records at the full rate; later ones are thinned out, so that a long outage does not fill the log. */
const FULL_RATE_RECORDS = 60;
const THINNED_INTERVAL = 10;

/** Dependencies of the log. */
interface MissingLeaderLogOptions {
  readonly events: EventRing;
  readonly timers: Timers;
  readonly describeQuorum: () => QuorumStatus;
}

/** Writes one event a second while no leader is heard, and every ten seconds after the first minute. */
export class MissingLeaderLog {
  private seconds = 0;
  private readonly stopTicking: Cancel;

  private constructor(private readonly options: MissingLeaderLogOptions) {
    this.stopTicking = options.timers.repeat(INTERVAL_MS, () => this.tick());
  }

  /**
   * Starts to watch.
   *
   * @example
   * const log = MissingLeaderLog.create({events, timers, describeQuorum});
   */
  static create(options: MissingLeaderLogOptions): MissingLeaderLog {
    return new MissingLeaderLog(options);
  }

  close(): void {
    this.stopTicking();
  }

  private tick(): void {
    const status = this.options.describeQuorum();
    if (status.explanation === '') {
      this.seconds = 0;
      return;
    }
    this.seconds += 1;
    const isThinned = this.seconds > FULL_RATE_RECORDS;
    if (!isThinned || this.seconds % THINNED_INTERVAL === 0) {
      this.record(status);
    }
  }

  private record(status: QuorumStatus): void {
    const {identity, voterSets, peers, explanation} = status;
    this.options.events.record({
      type: 'no-leader',
      subject: 'control',
      id: identity,
      reason: explanation,
      details: {
        role: status.role,
        leaderSilentMs: status.leaderSilentMs,
        term: status.term,
        lastIndex: status.lastIndex,
        lastTerm: status.lastTerm,
        committed: status.commitIndex,
        voters: voterSets.map(voters => voters.join(' ')).join(' | '),
        answers: peers.map(describeAnswer).join(', '),
        unreachable: peers
          .filter(({isReachable}) => !isReachable)
          .map(describeUnreachable)
          .join(', '),
        writePendingMs: status.writePendingMs,
      },
    });
  }
}

type PeerStatus = QuorumStatus['peers'][number];

function describeAnswer({identity, vote, voteAgeMs}: PeerStatus): string {
  return vote === undefined
    ? `${identity} none`
    : `${identity} ${vote} ${voteAgeMs} ms ago`;
}

function describeUnreachable({identity, sinceMs, failure}: PeerStatus): string {
  const reason = failure === undefined ? '' : ` (${failure})`;
  return `${identity} for ${sinceMs} ms${reason}`;
}
