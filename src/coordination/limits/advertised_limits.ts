/**
 * Rate limits that backend servers advertise in their responses. Updates may come
 * from several sources and in any order; the newest one wins.
 */
import {RateLimitReport} from '../../protocol/rate_limit_report';

/** How long the end of a limit is remembered, so that an older update does not restore the limit. */
const END_RETENTION_MS = 10_000;
/** How long the limit of a backend server that is no longer in use is kept. */
const UNUSED_RETENTION_MS = 300_000;

/** The rate limit of one backend server. */
interface AdvertisedLimit {
  /** Requests per second from all gateways together. */
  readonly perSecond: number;
  /** When it was last advertised. */
  readonly advertisedAt: number;
}

/** Limits by incarnation of the backend server; all times are monotonic milliseconds of the caller. */
export class AdvertisedLimits {
  private readonly limits = new Map<string, AdvertisedLimit>();
  private readonly endedAt = new Map<string, number>();

  private constructor() {}

  /**
   * Creates an empty table.
   *
   * @example
   * const limits = AdvertisedLimits.create();
   * limits.recordLimit('i-7f3a91c2', 3.7, clock.now());
   */
  static create(): AdvertisedLimits {
    return new AdvertisedLimits();
  }

  /** Records an advertised limit; returns whether it differs from the previous one. */
  recordLimit(incarnation: string, perSecond: number, at: number): boolean {
    const known = this.limits.get(incarnation);
    const isOutdated =
      (known?.advertisedAt ?? -Infinity) > at ||
      (this.endedAt.get(incarnation) ?? -Infinity) > at;
    if (isOutdated) {
      return false;
    }
    this.endedAt.delete(incarnation);
    this.limits.set(incarnation, {perSecond, advertisedAt: at});
    return known?.perSecond !== perSecond;
  }

  /**
   * Records a response without a limit; returns whether this ended a limit.
   *
   * @param since when the request was sent: a limit that was advertised later remains
   */
  recordNoLimit(incarnation: string, since: number): boolean {
    const known = this.limits.get(incarnation);
    if (!known || known.advertisedAt >= since) {
      return false;
    }
    this.limits.delete(incarnation);
    this.endedAt.set(incarnation, since);
    return true;
  }

  /** Returns the limit of a backend server, if it has one. */
  find(incarnation: string): AdvertisedLimit | undefined {
    return this.limits.get(incarnation);
  }

  /** Returns the backend servers that have a limit or whose limit ended recently. */
  list(): string[] {
    return [...this.limits.keys(), ...this.endedAt.keys()];
  }

  /** Returns updates for another process, for those of the backend servers about which anything is known. */
  describe(incarnations: readonly string[], now: number): RateLimitReport[] {
    return incarnations.flatMap(incarnation => {
      const known = this.limits.get(incarnation);
      const at = known?.advertisedAt ?? this.endedAt.get(incarnation);
      const perSecond = known?.perSecond ?? null;
      return at === undefined
        ? []
        : [{incarnation, perSecond, msAgo: Math.max(0, now - at)}];
    });
  }

  /** Removes outdated ends and limits of unused backend servers. */
  expire(now: number, isUsed: (incarnation: string) => boolean): void {
    for (const [incarnation, at] of this.endedAt) {
      if (now - at > END_RETENTION_MS) {
        this.endedAt.delete(incarnation);
      }
    }
    for (const [incarnation, {advertisedAt}] of this.limits) {
      if (now - advertisedAt > UNUSED_RETENTION_MS && !isUsed(incarnation)) {
        this.limits.delete(incarnation);
      }
    }
  }

  clear(): void {
    this.limits.clear();
    this.endedAt.clear();
  }
}
