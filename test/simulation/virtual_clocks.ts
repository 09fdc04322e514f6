/** The clocks of one machine: a steady one that stands still while it is suspended, and the time of day. */
import {Clock} from '../../src/common/clock';
import {VirtualTime} from './virtual_time';

/** Any time of day. */
const EPOCH_MS = 1_700_000_000_000;

export class VirtualClocks {
  private suspensions: Array<{readonly from: number; readonly until: number}> =
    [];
  private steppedMs = 0;

  private constructor(private readonly time: VirtualTime) {}

  static create(time: VirtualTime): VirtualClocks {
    return new VirtualClocks(time);
  }

  /** Does not count suspensions. */
  readonly steady: Clock = {
    now: () => this.time.now() - this.countSuspendedMs(),
  };

  /** Counts them, and is set now and then. */
  readonly readWall = (): number =>
    Math.floor(EPOCH_MS + this.time.now() + this.steppedMs);

  /** Sets the time of day. */
  step(ms: number): void {
    this.steppedMs += ms;
  }

  suspend(ms: number, stepMs: number): void {
    const from = this.time.now();
    const isSuspended = this.suspensions.some(({until}) => until > from);
    if (!isSuspended) {
      this.suspensions.push({from, until: from + ms});
      this.time.after(ms, () => (this.steppedMs += stepMs));
    }
  }

  private countSuspendedMs(): number {
    const now = this.time.now();
    return this.suspensions.reduce(
      (sum, {from, until}) => sum + Math.min(now, until) - from,
      0,
    );
  }
}
