/**
 * In which order a search asks control processes: each at most once a round, and
 * all of them in every round, whatever the ones that do not lead tell.
 *
 * The load that it answers: after a loss some of the processes are dead or stand
 * still, and others do not know yet who leads and tell different lists.
 */
export class LeaderCandidates {
  private readonly known: Set<string>;
  private waiting: string[];
  private readonly trying = new Set<string>();

  private constructor(addresses: readonly string[]) {
    this.known = new Set(addresses);
    this.waiting = [...this.known];
  }

  /**
   * Creates the order of a search.
   *
   * @param addresses the likeliest first
   * @example
   * const order = SearchOrder.create(['a:1', 'b:1']);
   * order.takeNext(); // 'a:1'
   */
  static create(addresses: readonly string[]): LeaderCandidates {
    return new LeaderCandidates(addresses);
  }

  /** The address to ask next; undefined when this round has no more. */
  takeNext(): string | undefined {
    const address = this.waiting.shift();
    if (address !== undefined) {
      this.trying.add(address);
    }
    return address;
  }

  /** Nothing more comes from this address in this round. */
  finish(address: string): void {
    this.trying.delete(address);
  }

  /** Takes what a process that does not lead tells, the leader as it knows it first. */
  add(addresses: readonly string[]): void {
    const added = addresses.filter(address => !this.known.has(address));
    added.forEach(address => this.known.add(address));
    const [likeliest] = addresses;
    const rest = [...this.waiting, ...added];
    this.waiting = rest.includes(likeliest)
      ? [likeliest, ...rest.filter(address => address !== likeliest)]
      : rest;
  }

  /** Asks everybody once more, but for those whose answer may still come. */
  startRound(): void {
    this.waiting = [...this.known].filter(address => !this.trying.has(address));
  }
}
