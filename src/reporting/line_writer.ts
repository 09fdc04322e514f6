/** Writes lines without ever making the process wait for a reader. */
import {write} from 'node:fs';

/** A process that ends waits this long for a reader of its last lines, in milliseconds. */
const LAST_LINES_MS = 200;
/** Between two looks at whether the last lines were taken, in milliseconds. */
const LAST_LINES_CHECK_MS = 5;
/** Lines that wait for a slow reader; beyond it new ones are counted and left out. */
const MAX_WAITING = 2_000;

/** A bounded queue of lines in front of a file descriptor. */
export class LineWriter {
  private waiting: string[] = [];
  private dropped = 0;
  private isWriting = false;

  private constructor(private readonly descriptor: number) {}

  /**
   * Creates a writer.
   *
   * @example
   * const writer = LineWriter.create(1);
   * writer.write('{"event":"started"}');
   */
  static create(descriptor: number): LineWriter {
    return new LineWriter(descriptor);
  }

  /** Queues one line; never blocks. */
  write(line: string): void {
    if (this.waiting.length >= MAX_WAITING) {
      this.dropped += 1;
      return;
    }
    this.waiting.push(line);
    this.flush();
  }

  /** Waits until all lines were taken, a short time at most. */
  async drain(): Promise<void> {
    const until = performance.now() + LAST_LINES_MS;
    const isIdle = () => !this.isWriting && this.waiting.length === 0;
    while (!isIdle() && performance.now() < until) {
      await new Promise(resolve => setTimeout(resolve, LAST_LINES_CHECK_MS));
    }
  }

  private flush(): void {
    if (this.isWriting || this.waiting.length === 0) {
      return;
    }
    if (this.dropped > 0) {
      const event = 'log-lines-dropped';
      this.waiting.push(JSON.stringify({event, count: this.dropped}));
      this.dropped = 0;
    }
    this.isWriting = true;
    const bytes = Buffer.from(`${this.waiting.join('\n')}\n`);
    this.waiting = [];
    this.writeBytes(bytes, 0);
  }

  /** A reader that goes away must not end the process, so errors end the writing only. */
  private writeBytes(bytes: Buffer, from: number): void {
    write(this.descriptor, bytes, from, undefined, null, (error, written) => {
      const next = from + written;
      const isFull = (error as NodeJS.ErrnoException | null)?.code === 'EAGAIN';
      if (isFull) {
        const RETRY_MS = 20;
        setTimeout(() => this.writeBytes(bytes, from), RETRY_MS).unref();
        return;
      }
      if (!error && next < bytes.length) {
        this.writeBytes(bytes, next);
        return;
      }
      this.isWriting = false;
      setImmediate(() => this.flush());
    });
  }
}
