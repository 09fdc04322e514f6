/** What a leader knows about one follower. */
export class RaftProgress {
  /** The last entry known to be on the follower's disk. */
  matchIndex = 0;
  /** When the newest answered round was sent; the follower was reachable then. */
  lastContactAt = -Infinity;
  private readonly sentAt = new Map<number, number>();
  private latestRound = 0;

  private constructor(public nextIndex: number) {}

  /**
   * Starts from the leader's own end of the log.
   *
   * @example
   * const progress = RaftProgress.create(log.lastIndex + 1);
   */
  static create(nextIndex: number): RaftProgress {
    return new RaftProgress(nextIndex);
  }

  /** Remembers when a round first left: what follows under its number proves no later contact. */
  recordSentRound(round: number, now: number): void {
    if (round > this.latestRound) {
      this.latestRound = round;
      this.sentAt.set(round, now);
    }
  }

  /** Notes the answer to a round; its sending time is when contact is proved. */
  recordAnsweredRound(round: number): void {
    const sentAt = this.sentAt.get(round);
    if (sentAt === undefined) {
      return;
    }
    this.lastContactAt = Math.max(this.lastContactAt, sentAt);
    for (const earlier of this.sentAt.keys()) {
      if (earlier > round) {
        break;
      }
      this.sentAt.delete(earlier);
    }
  }
}
