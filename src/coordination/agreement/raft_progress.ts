/** Replication progress of one follower, as tracked by the leader. */
export class RaftProgress {
  /** Index of the last entry known to be on the follower's disk. */
  matchIndex = 0;
  /** Send time of the latest round that the follower answered. */
  lastContactAt = -Infinity;
  /** Send times of unanswered rounds, by round number. */
  private readonly sentAt = new Map<number, number>();
  private latestRound = 0;

  private constructor(public nextIndex: number) {}

  /**
   * Creates the progress of a follower that is assumed to have the whole log.
   *
   * @example
   * const progress = RaftProgress.create(log.lastIndex + 1);
   */
  static create(nextIndex: number): RaftProgress {
    return new RaftProgress(nextIndex);
  }

  /**
   * Records when the first message of a round was sent. Later messages of the same
   * round keep that time, since an answer does not tell which of them it belongs to.
   */
  recordSentRound(round: number, now: number): void {
    if (round > this.latestRound) {
      this.latestRound = round;
      this.sentAt.set(round, now);
    }
  }

  /** Records an answer, which proves contact as of the time when its round was sent. */
  recordAnsweredRound(round: number): void {
    const sentAt = this.sentAt.get(round);
    if (sentAt === undefined) {
      return;
    }
    this.lastContactAt = Math.max(this.lastContactAt, sentAt);
    for (const sentRound of this.sentAt.keys()) {
      if (sentRound > round) {
        break;
      }
      this.sentAt.delete(sentRound);
    }
  }
}
