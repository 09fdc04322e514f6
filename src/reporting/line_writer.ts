/** Writes lines without ever blocking the process on a slow reader. */
import {write} from 'node:fs';

/** How long an exiting process waits for its last lines to be read, in milliseconds. */
const DRAIN_TIMEOUT_MS = 200;
/** Interval of the checks whether the last lines have been read, in milliseconds. */
const DRAIN_POLL_INTERVAL_MS = 5;
/** Maximum queue length; lines beyond it are dropped and counted. */
const MAX_QUEUED_LINES = 2_000;

/** Writes lines to a file descriptor through a bounded queue. */
export class LineWriter {
  private queue: string[] = [];
  private droppedCount = 0;
  private isWriting = false;

  private constructor(private readonly descriptor: number) {}

  /**
   * Creates a writer with an empty queue.
   *
   * @example
   * const writer = LineWriter.create(1);
   * writer.write('{"event":"started"}');
   */
  static create(descriptor: number): LineWriter {
    return new LineWriter(descriptor);
  }

  /** Queues one line, or drops it when the queue is full; never blocks. */
  write(line: string): void {
    if (this.queue.length >= MAX_QUEUED_LINES) {
      this.droppedCount += 1;
      return;
    }
    this.queue.push(line);
    this.flush();
  }

  /** Waits until all lines have been written, up to a short timeout. */
  async drain(): Promise<void> {
    const deadline = performance.now() + DRAIN_TIMEOUT_MS;
    const isIdle = () => !this.isWriting && this.queue.length === 0;
    while (!isIdle() && performance.now() < deadline) {
      await new Promise(resolve => setTimeout(resolve, DRAIN_POLL_INTERVAL_MS));
    }
  }

  private flush(): void {
    if (this.isWriting || this.queue.length === 0) {
      return;
    }
    if (this.droppedCount > 0) {
      const event = 'log-lines-dropped';
      this.queue.push(JSON.stringify({event, count: this.droppedCount}));
      this.droppedCount = 0;
    }
    this.isWriting = true;
    const bytes = Buffer.from(`${this.queue.join('\n')}\n`);
    this.queue = [];
    this.writeBytes(bytes, 0);
  }

  /** Ignores errors, since a closed reader must not crash the process; a full pipe is retried. */
  private writeBytes(bytes: Buffer, from: number): void {
    write(this.descriptor, bytes, from, undefined, null, (error, written) => {
      const next = from + written;
      const isBufferFull =
        (error as NodeJS.ErrnoException | null)?.code === 'EAGAIN';
      if (isBufferFull) {
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
