/**
 * Queue of the control processes that a search for the leader asks: each at most
 * once a round, and all of them in every round, whatever addresses followers report.
 *
 * After a failure some processes are dead or frozen, and others do not know the new
 * leader yet and report different lists. Restarting with each list would keep the
 * search among those followers.
 */
export class LeaderCandidates {
  private readonly known: Set<string>;
  private queue: string[];
  private readonly inFlight = new Set<string>();

  private constructor(addresses: readonly string[]) {
    this.known = new Set(addresses);
    this.queue = [...this.known];
  }

  /**
   * Creates the queue of a search.
   *
   * @param addresses the most likely leader first
   * @example
   * const candidates = LeaderCandidates.create(['a:1', 'b:1']);
   * candidates.takeNext(); // 'a:1'
   */
  static create(addresses: readonly string[]): LeaderCandidates {
    return new LeaderCandidates(addresses);
  }

  /** Returns the next address to ask; undefined when the round is complete. */
  takeNext(): string | undefined {
    const address = this.queue.shift();
    if (address !== undefined) {
      this.inFlight.add(address);
    }
    return address;
  }

  /** Records that the attempt at this address has ended. */
  finish(address: string): void {
    this.inFlight.delete(address);
  }

  /** Adds the addresses that a follower reported; the first one, its presumed leader, is asked next. */
  add(addresses: readonly string[]): void {
    const added = addresses.filter(address => !this.known.has(address));
    added.forEach(address => this.known.add(address));
    const [presumedLeader] = addresses;
    const rest = [...this.queue, ...added];
    this.queue = rest.includes(presumedLeader)
      ? [presumedLeader, ...rest.filter(address => address !== presumedLeader)]
      : rest;
  }

  /** Queues every address again, except those with an attempt in flight. */
  startRound(): void {
    this.queue = [...this.known].filter(address => !this.inFlight.has(address));
  }
}
