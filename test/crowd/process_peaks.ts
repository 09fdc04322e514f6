/** The most that one process has had of memory and descriptors, as the kernel tells. */
import {readdirSync, readFileSync} from 'node:fs';

const KB_PER_MB = 1_024;
/** The kernel keeps the peak of memory, but not of descriptors. */
const SAMPLE_MS = 50;

/** Reads a process again and again until it is closed or the process has ended. */
export class ProcessPeaks {
  private peakMb = 0;
  private peakFds = 0;
  private readonly timer: NodeJS.Timeout;

  private constructor(private readonly pid: number) {
    this.timer = setInterval(() => this.sample(), SAMPLE_MS);
  }

  static create(pid: number): ProcessPeaks {
    return new ProcessPeaks(pid);
  }

  get memoryMb(): number {
    this.sample();
    return this.peakMb;
  }

  get fds(): number {
    this.sample();
    return this.peakFds;
  }

  close(): void {
    clearInterval(this.timer);
  }

  private sample(): void {
    try {
      const status = readFileSync(`/proc/${this.pid}/status`, 'utf8');
      const fds = readdirSync(`/proc/${this.pid}/fd`).length;
      const peakKb = Number(/^VmHWM:\s+(\d+) kB$/m.exec(status)?.[1] ?? 0);
      this.peakMb = Math.max(this.peakMb, peakKb / KB_PER_MB);
      this.peakFds = Math.max(this.peakFds, fds);
    } catch {
      // The process has ended.
    }
  }
}
