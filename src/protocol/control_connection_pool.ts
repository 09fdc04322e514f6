/** The connections of one client to control processes: one to each, shared by its calls. */
import {ControlConnection} from './control_connection';

type LineOptions = Omit<
  Parameters<typeof ControlConnection.create>[0],
  'address'
>;

/** Opens lines when they are asked for; keeps the one to the leader. */
export class ControlConnectionPool {
  private readonly lines = new Map<string, ControlConnection>();
  private kept: ControlConnection | undefined;

  private constructor(private readonly options: LineOptions) {}

  /**
   * Creates an empty set.
   *
   * @example
   * const lines = ControlLines.create({identity});
   * const line = lines.take('127.0.0.1:7000');
   * lines.release(line);
   */
  static create(options: LineOptions): ControlConnectionPool {
    return new ControlConnectionPool(options);
  }

  /** The line to the process that leads, as far as is known. */
  get leader(): ControlConnection | undefined {
    return this.kept?.isUsable ? this.kept : undefined;
  }

  /** The line to an address, for one more user. */
  acquire(address: string): ControlConnection {
    const known = this.lines.get(address);
    const line = known?.isUsable
      ? known
      : ControlConnection.create({...this.options, address});
    this.lines.set(address, line);
    line.refCount += 1;
    return line;
  }

  /** Keeps a line open for one more user. */
  retain(line: ControlConnection): void {
    line.refCount += 1;
  }

  /** Keeps a line whose process leads, also without users. */
  recordLeader(line: ControlConnection): void {
    const before = this.kept;
    this.kept = line;
    if (before && before !== line) {
      this.closeUnused(before);
    }
  }

  /** Its process does not lead, or its connection has ended. */
  clearLeader(line: ControlConnection): void {
    if (this.kept === line) {
      this.kept = undefined;
      this.closeUnused(line);
    }
  }

  /** Opens another connection the next time: this one may have gone silent for good. */
  evict(line: ControlConnection): void {
    if (this.lines.get(line.address) === line) {
      this.lines.delete(line.address);
    }
    if (this.kept === line) {
      this.kept = undefined;
    }
  }

  /** Gives a line back. */
  release(line: ControlConnection): void {
    line.refCount -= 1;
    this.closeUnused(line);
  }

  close(): void {
    this.kept = undefined;
    this.lines.forEach(line => line.close());
    this.lines.clear();
  }

  private closeUnused(line: ControlConnection): void {
    if (line.refCount > 0 || (line === this.kept && line.isUsable)) {
      return;
    }
    this.evict(line);
    line.close();
  }
}
