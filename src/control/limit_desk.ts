/** The leader's table of the limits that backend servers name, and its permits to send to them. */
import {Clock} from '../common/clock';
import {EventRing} from '../common/event_ring';
import {LimitLines} from '../common/limit_lines';
import {NamedLimits} from '../coordination/limits/named_limits';
import {PermitIssuer} from '../coordination/limits/permit_issuer';
import {permitTiming} from '../coordination/limits/permit_timing';
import {ControlMessage} from '../protocol/control_message';
import {RateLimitReport} from '../protocol/rate_limit_report';
import {MessageOf} from '../protocol/message_of';
import {BackendRegistry} from './backend_registry';
import {RaftRuntime} from './raft_runtime';

/** Changes that are remembered: a gateway that missed more gets the whole table. */
const MAX_CHANGES = 1_024;
/** Between two looks for what is over. */
const EXPIRE_EVERY_MS = 1_000;

type Ask<T extends ControlMessage['type']> = MessageOf<ControlMessage, T>;

/** What the desk works on. */
interface LimitDeskOptions {
  readonly runtime: {
    readonly raft: Pick<RaftRuntime['raft'], 'term'>;
    readonly leadingSince: number;
  };
  readonly registry: Pick<BackendRegistry, 'find'>;
  readonly clock: Clock;
  readonly events: EventRing;
  readonly leaderName: string;
  /** Wakes the gateways that wait for news. */
  readonly announce: () => void;
}

/** Never replicated: gateways tell a new leader what they hold. */
export class LimitDesk {
  private readonly limits = NamedLimits.create();
  private readonly issuers = new Map<string, PermitIssuer>();
  /** Backend servers whose limit changed, oldest first. */
  private changes: string[] = [];
  /** Changes that were made so far, the forgotten ones among them. */
  private count = 0;
  private term = -1;
  private expiredAt = -Infinity;

  private readonly lines: LimitLines;

  private constructor(private readonly options: LimitDeskOptions) {
    this.lines = LimitLines.create(options.events, options.clock);
  }

  /**
   * Creates a desk that knows no limit.
   *
   * @example
   * const desk = LimitDesk.create({runtime, registry, clock, events, leaderName, announce});
   */
  static create(options: LimitDeskOptions): LimitDesk {
    return new LimitDesk(options);
  }

  /** Names the table as it is now; a gateway that holds this one needs nothing. */
  readTag(): string {
    this.follow();
    return `${this.options.leaderName}/${this.term}/${this.count}`;
  }

  /** What a gateway needs that holds the table with this tag. */
  describeSince(tag: string): RateLimitReport[] {
    const now = this.options.clock.now();
    const era = this.readTag().slice(0, -String(this.count).length);
    const missed = this.count - Number(tag.slice(era.length));
    const isFollowing = tag.startsWith(era);
    if (!isFollowing || !(missed >= 0 && missed <= this.changes.length)) {
      return this.limits.describe(this.limits.list(), now);
    }
    const changed = missed === 0 ? [] : this.changes.slice(-missed);
    return this.limits.describe([...new Set(changed)], now);
  }

  /** Takes what a gateway heard, or was told by the leader before. */
  recordWords(gatewayId: string, words: readonly RateLimitReport[]): void {
    this.follow();
    words.forEach(word => this.recordWord(gatewayId, word));
  }

  readonly handlers = {
    'permit-ask': (ask: Ask<'permit-ask'>): ControlMessage => {
      const {call, gatewayId, limit} = ask;
      const {clock} = this.options;
      this.recordWords(gatewayId, [limit]);
      const {incarnation} = limit;
      const known = this.limits.find(incarnation);
      if (!known) {
        return {type: 'permit-answer', call, ...FREE};
      }
      const now = clock.now();
      const issuer = this.findIssuer(incarnation, known.perSecond, now);
      const {isGranted, ...pace} = issuer.ask(gatewayId, now);
      const kind = isGranted ? 'granted' : 'later';
      return {type: 'permit-answer', call, verdict: {kind, ...pace}};
    },
  };

  private recordWord(gatewayId: string, word: RateLimitReport): void {
    const {clock, announce} = this.options;
    const {incarnation, perSecond, msAgo} = word;
    const at = clock.now() - msAgo;
    const before = this.limits.find(incarnation)?.perSecond;
    const isNews =
      perSecond === null
        ? this.limits.end(incarnation, at)
        : this.limits.add(incarnation, perSecond, at);
    if (!isNews) {
      return;
    }
    if (perSecond !== null) {
      const now = clock.now();
      this.findIssuer(incarnation, perSecond, now).setLimit(perSecond, now);
    }
    // Gateways need not know the figure, only whether there is a limit.
    if (perSecond === null || before === undefined) {
      this.changes = [...this.changes, incarnation].slice(-MAX_CHANGES);
      this.count += 1;
      announce();
    }
    this.lines.record({
      incarnation,
      perSecond,
      before,
      reason:
        perSecond === null
          ? 'a gateway got an answer that names no limit any more'
          : 'a gateway got an answer that names it',
      details: {gatewayId, ageMs: Math.round(msAgo)},
    });
  }

  private findIssuer(
    incarnation: string,
    perSecond: number,
    now: number,
  ): PermitIssuer {
    const known = this.issuers.get(incarnation);
    if (known) {
      return known;
    }
    const {windowMs, lifeMs} = permitTiming;
    const {leadingSince} = this.options.runtime;
    const notBefore = leadingSince + windowMs + lifeMs;
    const issuer = PermitIssuer.create({perSecond, now, notBefore});
    this.issuers.set(incarnation, issuer);
    return issuer;
  }

  /** Begins anew where another process led in between; forgets what is over. */
  private follow(): void {
    const {runtime, registry, clock} = this.options;
    const now = clock.now();
    if (runtime.raft.term !== this.term) {
      this.term = runtime.raft.term;
      this.limits.clear();
      this.issuers.clear();
      this.changes = [];
    }
    if (now - this.expiredAt < EXPIRE_EVERY_MS) {
      return;
    }
    this.expiredAt = now;
    const isHere = (incarnation: string) =>
      registry.find(incarnation) !== undefined;
    this.limits.expire(now, isHere);
    const known = new Set(this.limits.list());
    for (const incarnation of this.issuers.keys()) {
      if (!known.has(incarnation)) {
        this.issuers.delete(incarnation);
      }
    }
  }
}

const FREE = {
  verdict: {kind: 'free', pauseMs: 0, intervalMs: 0},
} as const;
