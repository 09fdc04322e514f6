/** Tells whether this process was held up lately, so that what it reads may be older than it looks. */
import {Clock} from './clock';
import {systemClock} from './system_clock';

/** A process that is killed and started again at once needs about as long until it listens. */
const MIN_PAUSE_MS = 100;
/** What has arrived during a pause is read within this time after it. */
const RECENT_MS = 250;

/** The clocks of the system by default. */
interface ProcessPausesOptions {
  readonly monotonic: Clock;
  /** Wall-clock milliseconds; the monotonic clock stands still while the machine is suspended. */
  readonly wall: () => number;
}

const SYSTEM_CLOCKS = {monotonic: systemClock, wall: () => Date.now()};

/** Compares the times of calls that come at short intervals while the process runs. */
export class ProcessPauses {
  private lastAt: number;
  private lastWall: number;
  private lastPauseAt = -Infinity;

  private constructor(private readonly options: ProcessPausesOptions) {
    this.lastAt = options.monotonic.now();
    this.lastWall = options.wall();
  }

  /**
   * Creates a meter; `record` must be called at intervals well under 100 ms.
   *
   * @example
   * const pauses = ProcessPauses.create();
   */
  static create(options: ProcessPausesOptions = SYSTEM_CLOCKS): ProcessPauses {
    return new ProcessPauses(options);
  }

  /** Records that the process runs. */
  record(): void {
    const {monotonic, wall} = this.options;
    const now = monotonic.now();
    const wallNow = wall();
    const pausedMs = Math.max(now - this.lastAt, wallNow - this.lastWall);
    if (pausedMs >= MIN_PAUSE_MS) {
      this.lastPauseAt = now;
    }
    this.lastAt = now;
    this.lastWall = wallNow;
  }

  /** True if the process did not run for a while just now, or shortly before. */
  hasPausedLately(): boolean {
    this.record();
    return this.lastAt - this.lastPauseAt < RECENT_MS;
  }
}
