import {VirtualTime} from './virtual_time';

/** Ways between machines on which nothing comes through for a while. */
export class VirtualCuts {
  private readonly endsAt = new Map<string, number>();

  private constructor(private readonly time: VirtualTime) {}

  static create(time: VirtualTime): VirtualCuts {
    return new VirtualCuts(time);
  }

  /** Cuts one way. */
  add(from: string, to: string, forMs: number): void {
    this.endsAt.set(`${from}>${to}`, this.time.now() + forMs);
  }

  /** Cuts both ways between each of one side and each of the other. */
  separate(
    side: readonly string[],
    others: readonly string[],
    forMs: number,
    how: 'both' | 'in' | 'out' = 'both',
  ): void {
    for (const name of side) {
      for (const other of others) {
        if (how !== 'in') {
          this.add(name, other, forMs);
        }
        if (how !== 'out') {
          this.add(other, name, forMs);
        }
      }
    }
  }

  isCut(from: string, to: string): boolean {
    return this.time.now() < (this.endsAt.get(`${from}>${to}`) ?? 0);
  }

  clear(): void {
    this.endsAt.clear();
  }
}
