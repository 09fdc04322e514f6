/** What a backend server of the soak says of itself for a while, and whether entries heed it. */

const QUIET_MS = 1_000;
const QUIET_SPREAD_MS = 6_000;
const LIMITED_MS = 5_000;
const LIMITED_SPREAD_MS = 2_000;
const LEAST_PER_SECOND = 1;
const SPREAD_PER_SECOND = 8;
const REST_MS = 500;
const REST_SPREAD_MS = 2_000;
/** Part of the refusals that ask for rest. */
const RESTING_SHARE = 0.3;
const MS_PER_SECOND = 1_000;
/** From the first answer that names a limit until it is kept. */
const KEPT_AFTER_MS = 3_000;
/** An entry counts from so long after it passed on a limit. */
const HEARD_AFTER_MS = 500;
const WINDOW_MS = 4_000;
const BORNE_PART = 1.5;
const BORNE_REQUESTS = 5;

interface LimitedTime {
  readonly perSecond: number;
  readonly until: number;
  firstAdvertisedAt?: number;
}

interface SoakSignalsOptions {
  readonly name: string;
  /** Uniform in [0, 1), seeded. */
  readonly random: () => number;
  readonly isEverLimited: boolean;
}

/** Limits that come and go, drawn from a seed. */
export class SoakSignals {
  readonly broken: string[] = [];
  private limited: LimitedTime | undefined;
  private quietUntil: number;
  private reached: number[] = [];
  /** One line says it for a limit. */
  private isTold = false;

  private constructor(private readonly options: SoakSignalsOptions) {
    this.quietUntil = this.drawQuietUntil();
  }

  static create(options: SoakSignalsOptions): SoakSignals {
    return new SoakSignals(options);
  }

  /** Notes a request that came. */
  recordReached(): void {
    const now = performance.now();
    this.follow(now);
    this.reached = this.reached.filter(at => at > now - WINDOW_MS);
    this.reached.push(now);
    this.check(now);
  }

  /** Headers of an answer that leaves now. */
  createHeaders(): Record<string, string> {
    const now = performance.now();
    this.follow(now);
    const {limited} = this;
    if (!limited) {
      return {};
    }
    limited.firstAdvertisedAt ??= now;
    return {'server-limit': limited.perSecond.toFixed(1)};
  }

  /** Headers of a refusal. */
  createRefusal(): Record<string, string> {
    const isBackingOff = this.options.random() < RESTING_SHARE;
    const restMs = REST_MS + this.options.random() * REST_SPREAD_MS;
    const seconds = (restMs / MS_PER_SECOND).toFixed(2);
    return {
      ...this.createHeaders(),
      ...(isBackingOff ? {'retry-after': seconds} : {}),
    };
  }

  private follow(now: number): void {
    if (this.limited && now >= this.limited.until) {
      this.limited = undefined;
      this.isTold = false;
      this.quietUntil = this.drawQuietUntil();
    } else if (!this.limited && now >= this.quietUntil) {
      this.limited = {
        perSecond: LEAST_PER_SECOND + this.options.random() * SPREAD_PER_SECOND,
        until: now + LIMITED_MS + this.options.random() * LIMITED_SPREAD_MS,
      };
    }
  }

  private check(now: number): void {
    const {perSecond, firstAdvertisedAt = Infinity} = this.limited ?? {};
    if (
      perSecond === undefined ||
      this.isTold ||
      now < firstAdvertisedAt + KEPT_AFTER_MS
    ) {
      return;
    }
    const since = firstAdvertisedAt + HEARD_AFTER_MS;
    const count = this.reached.filter(at => at > since).length;
    const inWindow = (perSecond * WINDOW_MS) / MS_PER_SECOND;
    const borne = inWindow * BORNE_PART + BORNE_REQUESTS;
    if (count > borne) {
      this.isTold = true;
      this.broken.push(
        `${this.options.name} named ${perSecond.toFixed(1)} a second and got ${count} in 4 s`,
      );
    }
  }

  private drawQuietUntil(): number {
    const {random, isEverLimited} = this.options;
    const quietMs = QUIET_MS + random() * QUIET_SPREAD_MS;
    return isEverLimited ? performance.now() + quietMs : Infinity;
  }
}
