/** Heads that gateways found closed before their own registration says so. */

/**
 * A head that is withdrawn is listed again after this time if its registration still says that
 * it is open: two intervals of registrations, so that one that was sent before the group broke
 * does not count.
 */
const WITHDRAWN_MS = 2_000;

/** A head in one group, as a gateway names it. */
interface HeadReference {
  readonly incarnation: string;
  readonly epoch: number;
}

/** Kept in the leader's memory only: a new leader hears of closed heads from the next refused requests. */
export class ClosedHeads {
  /** When each head was first reported, by incarnation and epoch. */
  private readonly reportedAt = new Map<string, number>();
  private changes = 0;

  private constructor() {}

  /**
   * Creates a list without heads.
   *
   * @example
   * const closedHeads = ClosedHeads.create();
   */
  static create(): ClosedHeads {
    return new ClosedHeads();
  }

  /** Records heads that a gateway reports; returns those that were not known as closed. */
  record(heads: readonly HeadReference[], now: number): HeadReference[] {
    this.expire(now);
    const added = heads.filter(head => !this.reportedAt.has(createKey(head)));
    added.forEach(head => this.reportedAt.set(createKey(head), now));
    this.changes += added.length;
    return added;
  }

  has(head: HeadReference): boolean {
    return this.reportedAt.has(createKey(head));
  }

  /** Increases with each head that is added or expires. */
  readVersion(now: number): number {
    this.expire(now);
    return this.changes;
  }

  private expire(now: number): void {
    for (const [key, at] of this.reportedAt) {
      if (now - at >= WITHDRAWN_MS) {
        this.reportedAt.delete(key);
        this.changes += 1;
      }
    }
  }
}

function createKey({incarnation, epoch}: HeadReference): string {
  return `${incarnation} ${epoch}`;
}
