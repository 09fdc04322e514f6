/** The connections of one client to control processes: one to each, shared by its calls. */
import {ControlLine} from './control_line';

type LineOptions = Omit<Parameters<typeof ControlLine.create>[0], 'address'>;

/** Opens lines when they are asked for; keeps the one to the leader. */
export class ControlLines {
  private readonly lines = new Map<string, ControlLine>();
  private kept: ControlLine | undefined;

  private constructor(private readonly options: LineOptions) {}

  /**
   * Creates an empty set.
   *
   * @example
   * const lines = ControlLines.create({identity});
   * const line = lines.take('127.0.0.1:7000');
   * lines.release(line);
   */
  static create(options: LineOptions): ControlLines {
    return new ControlLines(options);
  }

  /** The line to the process that leads, as far as is known. */
  get leader(): ControlLine | undefined {
    return this.kept?.isUsable ? this.kept : undefined;
  }

  /** The line to an address, for one more user. */
  take(address: string): ControlLine {
    const known = this.lines.get(address);
    const line = known?.isUsable
      ? known
      : ControlLine.create({...this.options, address});
    this.lines.set(address, line);
    line.users += 1;
    return line;
  }

  /** Keeps a line open for one more user. */
  addUser(line: ControlLine): void {
    line.users += 1;
  }

  /** Keeps a line whose process leads, also without users. */
  recordLeader(line: ControlLine): void {
    const before = this.kept;
    this.kept = line;
    if (before && before !== line) {
      this.closeUnused(before);
    }
  }

  /** Its process does not lead, or its connection has ended. */
  recordNoLeader(line: ControlLine): void {
    if (this.kept === line) {
      this.kept = undefined;
      this.closeUnused(line);
    }
  }

  /** Opens another connection the next time: this one may have gone silent for good. */
  abandon(line: ControlLine): void {
    if (this.lines.get(line.address) === line) {
      this.lines.delete(line.address);
    }
    if (this.kept === line) {
      this.kept = undefined;
    }
  }

  /** Gives a line back. */
  release(line: ControlLine): void {
    line.users -= 1;
    this.closeUnused(line);
  }

  close(): void {
    this.kept = undefined;
    this.lines.forEach(line => line.close());
    this.lines.clear();
  }

  private closeUnused(line: ControlLine): void {
    if (line.users > 0 || (line === this.kept && line.isUsable)) {
      return;
    }
    this.abandon(line);
    line.close();
  }
}
