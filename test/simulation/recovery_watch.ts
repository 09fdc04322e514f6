import {DayEvent} from './quorum_day';
import {VirtualMachine} from './virtual_machine';

/** What the watch looks at. */
interface RecoveryView {
  readonly machines: readonly VirtualMachine[];
  /** Machines whose disks were lost; a leader must come without them. */
  readonly isLost: (name: string) => boolean;
  readonly troubledUntil: ReadonlyMap<string, number>;
}

/** Finds the moment from which a leader may be expected. */
export class RecoveryWatch {
  private constructor(private readonly lastEndsAt: number) {}

  /**
   * @param closedAt when the machines lost power
   * @param events what goes wrong after that
   */
  static create(closedAt: number, events: readonly DayEvent[]): RecoveryWatch {
    return new RecoveryWatch(
      Math.max(closedAt, ...events.map(event => closedAt + findEnd(event))),
    );
  }

  /** The moment at which every survivor listened and nothing went wrong any more; undefined before it. */
  findCalmAt(view: RecoveryView): number | undefined {
    const {machines, isLost, troubledUntil} = view;
    const survivors = machines.filter(({name}) => !isLost(name));
    const times = survivors.map(({listeningSince}) => listeningSince);
    if (times.some(time => time === undefined)) {
      return undefined;
    }
    const troubles = survivors.map(({name}) => troubledUntil.get(name) ?? 0);
    return Math.max(this.lastEndsAt, ...(times as number[]), ...troubles);
  }
}

function findEnd(event: DayEvent): number {
  return event.at + ('forMs' in event ? event.forMs : 0);
}
