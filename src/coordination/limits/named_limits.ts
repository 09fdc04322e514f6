/**
 * What is known of the limits that backend servers name, from whatever source and
 * in whatever order the words come.
 */
import {RateLimitReport} from '../../protocol/rate_limit_report';

/** An end is remembered this long, so that an older word does not bring its limit back. */
const END_KEPT_MS = 10_000;
/** A limit of a backend server that nobody sends to any more is forgotten after this. */
const UNUSED_KEPT_MS = 300_000;

/** One backend server's limit. */
interface NamedLimit {
  /** Requests a second from all gateways together. */
  readonly perSecond: number;
  /** When it was last named. */
  readonly namedAt: number;
}

/** Limits by incarnation of a backend server; all times are the caller's monotonic milliseconds. */
export class NamedLimits {
  private readonly limits = new Map<string, NamedLimit>();
  private readonly endedAt = new Map<string, number>();

  private constructor() {}

  /**
   * Creates an empty table.
   *
   * @example
   * const limits = NamedLimits.create();
   * limits.add('i-7f3a91c2', 3.7, clock.now());
   */
  static create(): NamedLimits {
    return new NamedLimits();
  }

  /** Takes a limit that was named; tells whether it is another one than before. */
  add(incarnation: string, perSecond: number, at: number): boolean {
    const known = this.limits.get(incarnation);
    const isLate =
      (known?.namedAt ?? -Infinity) > at ||
      (this.endedAt.get(incarnation) ?? -Infinity) > at;
    if (isLate) {
      return false;
    }
    this.endedAt.delete(incarnation);
    this.limits.set(incarnation, {perSecond, namedAt: at});
    return known?.perSecond !== perSecond;
  }

  /**
   * Takes that a backend server names no limit; tells whether one ended by it.
   *
   * @param since when what it answered was sent: a limit that was named later stands
   */
  end(incarnation: string, since: number): boolean {
    const known = this.limits.get(incarnation);
    if (!known || known.namedAt >= since) {
      return false;
    }
    this.limits.delete(incarnation);
    this.endedAt.set(incarnation, since);
    return true;
  }

  /** Requests a second, and when that was last named. */
  find(incarnation: string): NamedLimit | undefined {
    return this.limits.get(incarnation);
  }

  /** Backend servers with a limit, and those whose limit ended lately. */
  list(): string[] {
    return [...this.limits.keys(), ...this.endedAt.keys()];
  }

  /** What another process should know of these, as far as anything is known. */
  describe(incarnations: readonly string[], now: number): RateLimitReport[] {
    return incarnations.flatMap(incarnation => {
      const known = this.limits.get(incarnation);
      const at = known?.namedAt ?? this.endedAt.get(incarnation);
      const perSecond = known?.perSecond ?? null;
      return at === undefined
        ? []
        : [{incarnation, perSecond, msAgo: Math.max(0, now - at)}];
    });
  }

  /** Forgets what is over and what nobody uses. */
  expire(now: number, isUsed: (incarnation: string) => boolean): void {
    for (const [incarnation, at] of this.endedAt) {
      if (now - at > END_KEPT_MS) {
        this.endedAt.delete(incarnation);
      }
    }
    for (const [incarnation, {namedAt}] of this.limits) {
      if (now - namedAt > UNUSED_KEPT_MS && !isUsed(incarnation)) {
        this.limits.delete(incarnation);
      }
    }
  }

  clear(): void {
    this.limits.clear();
    this.endedAt.clear();
  }
}
