/** The weight store of the simulated fleet: loads start at a limited rate and slow each other down. */
import {EngineProfile} from '../../src/protocol/engine_profile';

/** Fraction of the full-speed loads up to which second copies may start, as in control. */
const SECOND_COPY_SHARE = 0.5;
const MS_PER_SECOND = 1_000;

/** Tracks the running loads. */
export class WeightStore {
  /** Number of loads started so far. */
  loadCount = 0;
  private running: Array<{endsAt: number; isSecondCopy: boolean}> = [];
  private tokens = 0;

  private constructor(private readonly profile: EngineProfile) {}

  /**
   * Creates a store without running loads.
   *
   * @example
   * const store = WeightStore.create(profile);
   */
  static create(profile: EngineProfile): WeightStore {
    return new WeightStore(profile);
  }

  /** Adds start tokens for the time that passed and removes finished loads. */
  advance(now: number, passedMs: number): void {
    const {loadsPerSecond} = this.profile;
    const added = (loadsPerSecond * passedMs) / MS_PER_SECOND;
    this.tokens = Math.min(loadsPerSecond, this.tokens + added);
    this.running = this.running.filter(({endsAt}) => endsAt > now);
  }

  clear(): void {
    this.running = [];
    this.loadCount = 0;
  }

  /** Factor by which a load takes longer now than alone. */
  get slowdown(): number {
    return Math.max(1, this.running.length / this.profile.concurrentLoads);
  }

  /** Starts a load; false when it must wait. */
  startLoad(isSecondCopy: boolean, loadMs: number, now: number): boolean {
    const {concurrentLoads} = this.profile;
    const isFull = isSecondCopy
      ? this.running.length >= concurrentLoads * SECOND_COPY_SHARE
      : this.running.filter(load => !load.isSecondCopy).length >=
        concurrentLoads;
    if (isFull || this.tokens < 1) {
      return false;
    }
    this.tokens -= 1;
    this.loadCount += 1;
    this.running.push({endsAt: now + loadMs, isSecondCopy});
    return true;
  }
}
