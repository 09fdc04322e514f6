import {ServerAddress} from '../common/server_address';

/**
 * Queue of the control processes that a search for the leader asks: each at most
 * once a round, and all of them in every round, whatever addresses followers report.
 *
 * After a failure some processes are dead or frozen, and others do not know the new
 * leader yet and report different lists. Restarting with each list would keep the
 * search among those followers.
 */
export class LeaderCandidates {
  /** All addresses by their texts, which the other fields hold. */
  private readonly known = new Map<string, ServerAddress>();
  private queue: string[] = [];
  private readonly inFlight = new Set<string>();

  private constructor(addresses: readonly ServerAddress[]) {
    this.add(addresses);
  }

  /**
   * Creates the queue of a search.
   *
   * @param addresses the most likely leader first
   * @example
   * const candidates = LeaderCandidates.create(addresses);
   * candidates.takeNext(); // the first address
   */
  static create(addresses: readonly ServerAddress[]): LeaderCandidates {
    return new LeaderCandidates(addresses);
  }

  /** Returns the next address to ask; undefined when the round is complete. */
  takeNext(): ServerAddress | undefined {
    const key = this.queue.shift();
    if (key === undefined) {
      return undefined;
    }
    this.inFlight.add(key);
    return this.known.get(key);
  }

  /** Records that the attempt at this address has ended. */
  finish(address: ServerAddress): void {
    this.inFlight.delete(address.toString());
  }

  /** Adds the addresses that a follower reported; the first one, its presumed leader, is asked next. */
  add(addresses: readonly ServerAddress[]): void {
    for (const address of addresses) {
      const key = address.toString();
      if (!this.known.has(key)) {
        this.known.set(key, address);
        this.queue.push(key);
      }
    }
    const presumedLeader = addresses[0]?.toString();
    if (this.queue.includes(presumedLeader)) {
      const rest = this.queue.filter(key => key !== presumedLeader);
      this.queue = [presumedLeader, ...rest];
    }
  }

  /** Queues every address again, except those with an attempt in flight. */
  startRound(): void {
    const keys = [...this.known.keys()];
    this.queue = keys.filter(key => !this.inFlight.has(key));
  }
}
