/** Limits that backend servers name, as this gateway knows them, and its permits to send in spite of them. */
import {Clock} from '../common/clock';
import {EventRing} from '../common/event_ring';
import {LimitLines} from '../common/limit_lines';
import {NamedLimits} from '../coordination/limits/named_limits';
import {PermitPacing} from '../coordination/limits/permit_pacing';
import {permitTiming} from '../coordination/limits/permit_timing';
import {RateLimitReport} from '../protocol/rate_limit_report';
import {PermitVerdict} from '../protocol/permit_verdict';
import {SendPermit} from './send_permit';

/** Words in one message to control; the rest follows with the next. */
const MAX_WORDS = 64;

/** Between two questions while no leader answers, in milliseconds: each costs a request the wait for it. */
const SILENT_MS = 200;

/** What the limits work with. */
interface BackendLimitsOptions {
  readonly clock: Clock;
  /** Permits run out by it, so it counts the time for which this machine was suspended. */
  readonly leaseClock: Clock;
  readonly events: EventRing;
  readonly askPermit: (limit: RateLimitReport) => Promise<PermitVerdict>;
  /** Control should hear of a limit at once. */
  readonly onNews: () => void;
}

/** For a backend server without a limit. */
const ALWAYS: SendPermit = {hasExpired: () => false};

/** One for all requests of a gateway. */
export class BackendLimits {
  private readonly limits = NamedLimits.create();
  private readonly pacings = new Map<string, PermitPacing>();
  /** The last word on each backend server that a leader has, with that leader's name. */
  private readonly told = new Map<string, string>();
  private tag = '';
  /** No leader answered: nobody asks before. */
  private silentUntil = -Infinity;

  private readonly lines: LimitLines;

  private constructor(private readonly options: BackendLimitsOptions) {
    this.lines = LimitLines.create(options.events, options.clock);
  }

  /**
   * Creates a table without limits.
   *
   * @example
   * const limits = BackendLimits.create({clock, leaseClock, events, askPermit, onNews});
   */
  static create(options: BackendLimitsOptions): BackendLimits {
    return new BackendLimits(options);
  }

  /** Takes the limit that an answer names, or that it names none. */
  record(
    incarnation: string,
    perSecond: number | undefined,
    sentAt: number,
  ): void {
    const {clock, onNews} = this.options;
    const wasLimited = this.isLimited(incarnation);
    this.apply({
      incarnation,
      perSecond: perSecond ?? null,
      at: perSecond === undefined ? sentAt : clock.now(),
      reason: 'its answer says so',
    });
    // Only the leader needs a new figure, and gets it with the next question.
    if (wasLimited !== this.isLimited(incarnation)) {
      onNews();
    }
  }

  /** True while each request there needs a permit. */
  isLimited(incarnation: string): boolean {
    return this.limits.find(incarnation) !== undefined;
  }

  /** False while it is of no use to ask for a permit. */
  isOpen(incarnation: string): boolean {
    const now = this.options.clock.now();
    const canAsk = this.pacings.get(incarnation)?.canAsk(now) ?? true;
    return !this.isLimited(incarnation) || (canAsk && now >= this.silentUntil);
  }

  /** Asks for the right to send one request at once; undefined where it is denied. */
  async askPermit(incarnation: string): Promise<SendPermit | undefined> {
    const {clock, leaseClock, askPermit} = this.options;
    const [limit] = this.limits.describe([incarnation], clock.now());
    if (!limit || limit.perSecond === null) {
      return ALWAYS;
    }
    const pacing = this.findPacing(incarnation);
    const askedAt = leaseClock.now();
    pacing.begin();
    const verdict = await askPermit(limit).catch(() => undefined);
    pacing.settle(verdict, clock.now());
    if (!verdict) {
      this.silentUntil = clock.now() + SILENT_MS;
    }
    if (verdict?.kind === 'free') {
      const at = clock.now();
      const reason = 'control knows of no limit any more';
      this.apply({incarnation, perSecond: null, at, reason});
      return ALWAYS;
    }
    const hasExpired = () =>
      leaseClock.now() - askedAt >= permitTiming.useWithinMs;
    const isUsable = verdict?.kind === 'granted' && !hasExpired();
    return isUsable ? {hasExpired} : undefined;
  }

  /**
   * When a caller that is refused now finds a place at one of these; it counts as
   * told so.
   *
   * @returns milliseconds; Infinity where none of them has a limit
   */
  takeReturnMs(incarnations: readonly string[]): number {
    const now = this.options.clock.now();
    const pacings = incarnations
      .filter(incarnation => this.isLimited(incarnation))
      .map(incarnation => this.findPacing(incarnation));
    const times = pacings.map(pacing => pacing.computeReturnMs(now));
    const inMs = Math.max(0, Math.min(Infinity, ...times));
    pacings[times.indexOf(Math.min(...times))]?.recordReturn(inMs, now);
    return inMs;
  }

  /** What control should know: the table that is held here, and what its leader was not told. */
  describeNews(): {limitsTag: string; limits: RateLimitReport[]} {
    const held = this.limits.list();
    const untold = this.limits
      .describe(held, this.options.clock.now())
      .filter(
        word => this.told.get(word.incarnation) !== formatTold(this.tag, word),
      );
    return {limitsTag: this.tag, limits: untold.slice(0, MAX_WORDS)};
  }

  /**
   * Takes the leader's answer.
   *
   * @param told what it was asked with
   */
  applyNews(
    told: readonly RateLimitReport[],
    tag: string,
    news: readonly RateLimitReport[],
  ): void {
    const now = this.options.clock.now();
    this.tag = tag;
    told.forEach(word =>
      this.told.set(word.incarnation, formatTold(tag, word)),
    );
    for (const word of news) {
      const {incarnation, perSecond, msAgo} = word;
      const reason = 'another gateway heard it';
      this.apply({incarnation, perSecond, at: now - msAgo, reason});
      this.told.set(incarnation, formatTold(tag, word));
    }
  }

  /** Forgets what is over, and limits of backend servers that control no longer tells. */
  expire(isKnown: (incarnation: string) => boolean): void {
    this.limits.expire(this.options.clock.now(), isKnown);
    const held = new Set(this.limits.list());
    for (const table of [this.pacings, this.told]) {
      for (const incarnation of table.keys()) {
        if (!held.has(incarnation)) {
          table.delete(incarnation);
        }
      }
    }
  }

  private apply(word: {
    readonly incarnation: string;
    readonly perSecond: number | null;
    readonly at: number;
    readonly reason: string;
  }): void {
    const {incarnation, perSecond, at, reason} = word;
    const before = this.limits.find(incarnation);
    const isNews =
      perSecond === null
        ? this.limits.end(incarnation, at)
        : this.limits.add(incarnation, perSecond, at);
    if (!isNews) {
      return;
    }
    this.told.delete(incarnation);
    if (perSecond === null) {
      this.pacings.delete(incarnation);
    }
    const saidAt = perSecond === null ? (before?.namedAt ?? at) : at;
    this.lines.record({
      incarnation,
      perSecond,
      before: before?.perSecond,
      reason,
      details: {ageMs: Math.round(this.options.clock.now() - saidAt)},
    });
  }

  private findPacing(incarnation: string): PermitPacing {
    const pacing = this.pacings.get(incarnation) ?? PermitPacing.create();
    this.pacings.set(incarnation, pacing);
    return pacing;
  }
}

/** A leader's name is all of its tag but the count of changes. */
function formatTold(
  tag: string,
  {perSecond}: Pick<RateLimitReport, 'perSecond'>,
): string {
  return `${tag.slice(0, tag.lastIndexOf('/'))} ${perSecond}`;
}
