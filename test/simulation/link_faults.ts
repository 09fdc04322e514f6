import {VirtualTime} from './virtual_time';

/** How long a lost segment takes to arrive after all, in milliseconds. */
const RETRANSMIT_MS = [200, 1_000] as const;

/** What goes wrong with connections beside cuts: machines without power, silent connections, lost segments. */
export class LinkFaults {
  private readonly silencedAt = new Map<string, number>();
  private lossyUntil = 0;
  private lossPart = 0;

  private constructor(
    private readonly time: VirtualTime,
    private readonly random: () => number,
    /** True for a machine without power: nothing there refuses a connection. */
    readonly isDark: (name: string) => boolean,
  ) {}

  static create(
    time: VirtualTime,
    random: () => number,
    isDark: (name: string) => boolean,
  ): LinkFaults {
    return new LinkFaults(time, random, isDark);
  }

  /** Silences the open connections of a machine for good; later ones work. */
  silence(name: string): void {
    this.silencedAt.set(name, this.time.now());
  }

  isSilenced(name: string, openedAt: number): boolean {
    return openedAt <= (this.silencedAt.get(name) ?? -Infinity);
  }

  /** Loses a part of all segments for a while. */
  lose(part: number, forMs: number): void {
    this.lossPart = part;
    this.lossyUntil = this.time.now() + forMs;
  }

  drawLossMs(): number {
    if (this.time.now() >= this.lossyUntil || this.random() >= this.lossPart) {
      return 0;
    }
    const [least, most] = RETRANSMIT_MS;
    return least + this.random() * (most - least);
  }
}
