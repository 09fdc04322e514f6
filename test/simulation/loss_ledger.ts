/** Which disks count as lost, so that a day loses no more at once than is to be borne. */

/** A machine has caught up once it could work with a majority for so long without a break. */
const CATCH_UP_MS = 4_000;
const LOOK_EVERY_MS = 100;

/** A machine as the ledger sees it. */
interface Place {
  readonly name: string;
  /** It runs, is not frozen, cut off or held up by its disk. */
  readonly isWell: boolean;
}

/** Counts lost disks; look at it every 100 ms. */
export class LossLedger {
  /** For how long each machine with a lost disk could catch up, in milliseconds. */
  private readonly lost = new Map<string, number>();

  private constructor(private readonly majority: number) {}

  static create(majority: number): LossLedger {
    return new LossLedger(majority);
  }

  get count(): number {
    return this.lost.size;
  }

  isLost(name: string): boolean {
    return this.lost.has(name);
  }

  recordLoss(name: string): void {
    this.lost.set(name, 0);
  }

  /** Another machine takes the place of one that is removed; it has a disk without anything. */
  recordSuccessor(removed: string, name: string): void {
    this.lost.delete(removed);
    this.lost.set(name, 0);
  }

  /** Notes who could work together just now. */
  look(places: readonly Place[]): void {
    const holders = places.filter(
      ({name, isWell}) => isWell && !this.lost.has(name),
    );
    const well = new Set(
      places.filter(({isWell}) => isWell).map(({name}) => name),
    );
    for (const [name, ms] of this.lost) {
      const canCatchUp = holders.length >= this.majority && well.has(name);
      if (canCatchUp && ms >= CATCH_UP_MS) {
        this.lost.delete(name);
      } else {
        this.lost.set(name, canCatchUp ? ms + LOOK_EVERY_MS : 0);
      }
    }
  }
}
