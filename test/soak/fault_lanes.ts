import {createRandom} from './create_random';

/** How long a fault lasts: from this long to this much longer. */
const FAULT_MS = 200;
const FAULT_SPREAD_MS = 1_500;

type Random = () => number;
type Faults = Readonly<Record<string, () => Promise<unknown>>>;

/** Lists the faults that may come next; all that varies is drawn here. */
type ListFaults = (random: Random) => Faults;

/** Several series of drawn faults at once; within each, a fault begins after the last has ended. */
export class FaultLanes {
  /** What was done when, a line each. */
  readonly lines: string[] = [];
  readonly counts: Record<string, number> = {};
  private isOver = false;

  private constructor() {}

  static create(): FaultLanes {
    return new FaultLanes();
  }

  /** How long a fault or a pause lasts, in milliseconds. */
  static drawMs(random: Random): number {
    return FAULT_MS + random() * FAULT_SPREAD_MS;
  }

  static pick<T>(list: readonly T[], random: Random): T {
    return list[Math.floor(random() * list.length)];
  }

  static sleep(ms: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, ms));
  }

  /** Injects faults for a while; all are over when it resolves or rejects. */
  async inject(
    durationMs: number,
    lanes: ReadonlyArray<{list: ListFaults; seed: number}>,
  ): Promise<void> {
    const timer = setTimeout(() => (this.isOver = true), durationMs);
    // Each lane draws for itself, so that what one draws does not depend on how long others take.
    const work = lanes.map(({list, seed}) =>
      this.repeat(list, createRandom(seed)),
    );
    try {
      await Promise.all(work);
    } finally {
      clearTimeout(timer);
      this.isOver = true;
      // A lane that goes on would start processes after the end of the run.
      await Promise.allSettled(work);
    }
  }

  private async repeat(list: ListFaults, random: Random): Promise<void> {
    while (!this.isOver) {
      const faults = list(random);
      const name = FaultLanes.pick(Object.keys(faults), random);
      this.counts[name] = (this.counts[name] ?? 0) + 1;
      this.tell(`${name} begins`);
      await faults[name]();
      this.tell(`${name} ends`);
      await FaultLanes.sleep(FaultLanes.drawMs(random));
    }
  }

  private tell(what: string): void {
    this.lines.push(`${new Date().toISOString()} ${what}`);
  }
}
