/** What happened on a simulated day, and the first promise that was broken. */
import {VirtualTime} from './virtual_time';

export class DayStory {
  readonly lines: string[] = [];
  /** Undefined while everything holds. */
  broken: string | undefined;

  private constructor(
    private readonly time: VirtualTime,
    private readonly describeMachines: () => readonly string[],
  ) {}

  static create(
    time: VirtualTime,
    describeMachines: () => readonly string[],
  ): DayStory {
    return new DayStory(time, describeMachines);
  }

  tell(what: string): void {
    this.lines.push(`${(this.time.now() / 1_000).toFixed(3)} s  ${what}`);
  }

  /** Only the first break is kept: the others may follow from it. */
  fail(what: string): false {
    if (this.broken === undefined) {
      this.broken = what;
      this.tell(`BROKEN: ${what}`);
      this.describeMachines().forEach(line => this.tell(line));
    }
    return false;
  }
}
