/** What the leader believes about backend servers that fall silent. */
import {Clock} from '../common/clock';
import {EventRing} from '../common/event_ring';
import {EngineGroup} from '../protocol/engine_group';
import {BackendRegistry} from './backend_registry';
import {ControlSettings} from './control_settings';
import {GatewayService} from './gateway_service';

/** Registration intervals without a word after which the leader asks itself. */
const DOUBT_INTERVALS = 2;
/** Failed questions in a row that count as a loss. */
const FAILED_PROBES = 2;
/** The same where a gateway says that the group has stalled: one more witness. */
const FAILED_PROBES_STALLED = 1;
/** How long bytes that a gateway got from a head speak for all members of its group. */
const SPEAKS_FOR_MS = 2_000;
/**
 * The same where a gateway says that the head has stalled: one telling of the others,
 * after which they would have heard it if only the way to that one were bad.
 */
const SPEAKS_FOR_STALLED_MS = 300;
/** Between two questions to one backend server that is in doubt. */
const PROBE_EVERY_MS = 150;
/**
 * The same once it answered, or counts as lost: only a change would be news, and each
 * question takes a new connection.
 */
const PROBE_SETTLED_EVERY_MS = 1_000;

interface Doubt {
  failures: number;
  /** The first member of its group; undefined while it is in none that is in doubt. */
  head: string | undefined;
  /** A gateway says that its group has stalled. */
  isStalled: boolean;
  isAsking: boolean;
  /** It answered the last question. */
  hasAnswered: boolean;
  askedAt: number;
  /** It stays lost until it answers or registers. */
  isLost: boolean;
}

/** What the judgement rests on. */
interface BackendHealthOptions {
  readonly duties: NonNullable<ControlSettings['pools']>;
  readonly clock: Clock;
  readonly registry: BackendRegistry;
  readonly events: EventRing;
  readonly desk: Pick<GatewayService, 'isStalled' | 'findHeardAt'>;
}

/** Judges by silence, by the gateways' word and by asking. */
export class BackendFailureDetector {
  private readonly doubts = new Map<string, Doubt>();

  private constructor(private readonly options: BackendHealthOptions) {}

  /**
   * Creates a judge that doubts nobody.
   *
   * @example
   * const health = BackendHealth.create({duties, clock, registry, desk});
   */
  static create(options: BackendHealthOptions): BackendFailureDetector {
    return new BackendFailureDetector(options);
  }

  /** Forgets every doubt: another process led meanwhile. */
  clear(): void {
    this.doubts.clear();
  }

  /** Asks the members of groups about which there is doubt. */
  refresh(groups: readonly EngineGroup[], now: number): void {
    const {desk, registry, duties} = this.options;
    this.recordLosses();
    const doubted = new Map<
      string,
      {address: string; head: string; isStalled: boolean}
    >();
    for (const {members} of groups) {
      const head = members[0].incarnation;
      const isStalled = desk.isStalled(head);
      for (const {incarnation, address} of members) {
        const seenAt = registry.find(incarnation)?.seenAt ?? -Infinity;
        const isSilent = now - seenAt > duties.heartbeatMs * DOUBT_INTERVALS;
        if (isStalled || (isSilent && !this.isSpokenFor({head, isStalled}))) {
          doubted.set(incarnation, {address, head, isStalled});
        }
      }
    }
    this.clearAnswered(doubted);
    for (const [incarnation, doubt] of this.doubts) {
      doubt.head = doubted.get(incarnation)?.head;
      doubt.isStalled = doubted.get(incarnation)?.isStalled ?? false;
    }
    doubted.forEach(({address, head, isStalled}, incarnation) => {
      const doubt =
        this.doubts.get(incarnation) ?? this.startDoubt(incarnation);
      doubt.head = head;
      doubt.isStalled = isStalled;
      this.ask(incarnation, doubt, address, now);
    });
  }

  /** Keeps what was found since the last look, before the groups that it was found for change. */
  private recordLosses(): void {
    for (const [incarnation, doubt] of this.doubts) {
      const isNews = !doubt.isLost && this.isProved(doubt);
      // What gateways said of its group is over with the group, and it is still dead.
      doubt.isLost ||= isNews;
      if (isNews) {
        this.tell('backend-lost', incarnation, 'it did not answer');
      }
    }
  }

  /** A doubt ends with a word of the backend server itself, not with its group. */
  private clearAnswered(doubted: ReadonlyMap<string, unknown>): void {
    for (const [incarnation, {askedAt}] of this.doubts) {
      const view = this.options.registry.find(incarnation);
      const hasSpoken = view !== undefined && view.seenAt > askedAt;
      if (!doubted.has(incarnation) && hasSpoken) {
        this.doubts.delete(incarnation);
        this.tell('backend-trusted', incarnation, 'it was heard again');
      }
    }
  }

  /** It does not answer, and nobody hears from its group. */
  isLost(incarnation: string): boolean {
    const doubt = this.doubts.get(incarnation);
    return doubt !== undefined && (doubt.isLost || this.isProved(doubt));
  }

  private isProved(doubt: Doubt): boolean {
    const needed = doubt.isStalled ? FAILED_PROBES_STALLED : FAILED_PROBES;
    return doubt.failures >= needed && !this.isSpokenFor(doubt);
  }

  /** A head that lacks a member sends nothing, so one that is heard has them all. */
  private isSpokenFor({
    head,
    isStalled,
  }: Pick<Doubt, 'head' | 'isStalled'>): boolean {
    const {desk, clock} = this.options;
    const withinMs = isStalled ? SPEAKS_FOR_STALLED_MS : SPEAKS_FOR_MS;
    return (
      head !== undefined && clock.now() - desk.findHeardAt(head) < withinMs
    );
  }

  private startDoubt(incarnation: string): Doubt {
    this.tell('backend-doubted', incarnation, 'it or its head is silent');
    const doubt = {
      failures: 0,
      head: undefined,
      isStalled: false,
      isAsking: false,
      hasAnswered: false,
      askedAt: -Infinity,
      isLost: false,
    };
    this.doubts.set(incarnation, doubt);
    return doubt;
  }

  private ask(
    incarnation: string,
    doubt: Doubt,
    address: string,
    now: number,
  ): void {
    const isSettled = doubt.hasAnswered || this.isLost(incarnation);
    const everyMs = isSettled ? PROBE_SETTLED_EVERY_MS : PROBE_EVERY_MS;
    const isDue = now - doubt.askedAt >= everyMs;
    if (doubt.isAsking || !isDue) {
      return;
    }
    doubt.isAsking = true;
    doubt.askedAt = now;
    const {orders} = this.options.duties;
    void (orders?.probe(address, incarnation) ?? Promise.resolve(true)).then(
      isAnswering => {
        doubt.isAsking = false;
        doubt.hasAnswered = isAnswering;
        doubt.isLost &&= !isAnswering;
        doubt.failures = isAnswering ? 0 : doubt.failures + 1;
      },
      () => {
        doubt.isAsking = false;
        doubt.failures += 1;
      },
    );
  }

  private tell(type: string, id: string, reason: string): void {
    const {events, registry, clock, desk} = this.options;
    const seenAt = registry.find(id)?.seenAt;
    const silentMs = seenAt === undefined ? -1 : clock.now() - seenAt;
    const head = this.doubts.get(id)?.head;
    const heardAt = head === undefined ? -Infinity : desk.findHeardAt(head);
    const details = {
      silentMs: Math.round(silentMs),
      headHeardMsAgo: Number.isFinite(heardAt)
        ? Math.round(clock.now() - heardAt)
        : -1,
    };
    events.record({type, subject: 'host', id, reason, details});
  }
}
