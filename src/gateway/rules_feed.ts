/** Follows control: the rules in force, the backend servers, and how fresh they are. */
import {Clock} from '../common/clock';
import {EventRing} from '../common/event_ring';
import {ControlClient} from '../protocol/control_client';
import {ControlMessage} from '../protocol/control_message';
import {GatewayTarget} from '../protocol/gateway_target';
import {MessageOf} from '../protocol/message_of';
import {ModelDemand} from '../protocol/model_demand';
import {SuspectUpdate} from '../protocol/suspect_update';
import {rulesCodec} from '../protocol/rules_codec';
import {BackendLimits} from './backend_limits';
import {RouteIndex} from './route_index';

/** Above the time for which control holds a question. */
const ASK_TIMEOUT_MS = 2_500;
const PAUSE_AFTER_FAILURE_MS = 50;

type Answer = MessageOf<ControlMessage, 'gateway-answer'>;

/** What the gateway tells control about backend servers. */
interface BackendNews {
  readonly stalled: readonly string[];
  readonly answering: readonly string[];
  /** How long ago each of them was heard, in the same order, in milliseconds. */
  readonly answeringMsAgo: readonly number[];
  readonly running: Readonly<Record<string, number>>;
  /** Models of which requests were refused lately for want of a place. */
  readonly pressed: readonly string[];
  readonly hasServed: boolean;
  /** What callers ask for, by model. */
  readonly demand: Readonly<Record<string, ModelDemand>>;
}

/** What the feed works with. */
interface RulesFeedOptions {
  readonly gatewayId: string;
  readonly client: ControlClient;
  readonly clock: Clock;
  readonly events: EventRing;
  /** How long an answer counts, from when it was asked for, in milliseconds. */
  readonly confirmationMs: number;
  /** Within which a change that was confirmed is in force everywhere, in milliseconds. */
  readonly changesWithinMs: number;
  readonly collectNews: () => BackendNews;
  /** Requests that other gateways have at each backend server. */
  readonly onRunning: (
    running: Readonly<Record<string, number>>,
    otherGateways: number,
  ) => void;
  /** The newest list of suspected requests that is held here. */
  readonly readSuspectsVersion: () => number;
  readonly onSuspects: (news: SuspectUpdate) => void;
  /** Limits of backend servers, which gateways tell each other through control. */
  readonly limits: Pick<BackendLimits, 'describeNews' | 'applyNews'>;
  readonly onTargets: (targets: ReadonlyMap<string, GatewayTarget>) => void;
  /** Addresses of the control processes, whenever they are told. */
  readonly onControl: (addresses: readonly string[]) => void;
}

/** Asks control again and again. */
export class RulesFeed {
  private routeIndex: RouteIndex | undefined;
  private targets = new Map<string, GatewayTarget>();
  private tableTag = '';
  private confirmedAt = -Infinity;
  private gatewayCount = 1;
  private isConnected: boolean | undefined;
  private isTelling = false;
  private isClosed = false;

  private constructor(private readonly options: RulesFeedOptions) {
    void this.follow();
  }

  /**
   * Starts following.
   *
   * @example
   * const feed = RulesFeed.create({gatewayId, client, clock, events, confirmationMs, changesWithinMs, collectNews, onTargets, onControl});
   */
  static create(options: RulesFeedOptions): RulesFeed {
    return new RulesFeed(options);
  }

  /** The rules in force; undefined before the first. */
  get index(): RouteIndex | undefined {
    return this.routeIndex;
  }

  /** Gateways that share what is limited in all. */
  get gateways(): number {
    return this.gatewayCount;
  }

  /** True while control confirmed the rules lately enough to act on them. */
  isConfirmed(): boolean {
    const {clock, confirmationMs} = this.options;
    return clock.now() - this.confirmedAt < confirmationMs;
  }

  /**
   * True while every change that was confirmed longer ago than it may take to be in
   * force is in force here: control was asked later than such a change was confirmed.
   */
  isCurrent(): boolean {
    return this.ageMs < this.options.changesWithinMs;
  }

  /** Milliseconds since the newest confirmed question was asked. */
  get ageMs(): number {
    return this.options.clock.now() - this.confirmedAt;
  }

  /** Tells control at once what is new here, beside the question that it holds. */
  tellNow(): void {
    if (this.isTelling || this.isClosed) {
      return;
    }
    this.isTelling = true;
    this.askOnce(true)
      .catch((error: Error) => this.recordConnection(false, error.message))
      .finally(() => (this.isTelling = false));
  }

  close(): void {
    this.isClosed = true;
    this.options.client.close();
  }

  private async follow(): Promise<void> {
    while (!this.isClosed) {
      try {
        await this.askOnce(false);
        this.recordConnection(true, 'control answers');
      } catch (error) {
        this.recordConnection(false, (error as Error).message);
        await new Promise(resolve =>
          setTimeout(resolve, PAUSE_AFTER_FAILURE_MS),
        );
      }
    }
  }

  private async askOnce(isUrgent: boolean): Promise<void> {
    const {client, clock, gatewayId, collectNews} = this.options;
    const askedAt = clock.now();
    const news = collectNews();
    const known = this.options.limits.describeNews();
    const {tableTag} = this;
    const answer = await client.ask<'gateway-ask'>(
      {
        type: 'gateway-ask',
        gatewayId,
        rulesVersion: this.routeIndex?.rules.version ?? 0,
        tableTag,
        stalled: [...news.stalled],
        answering: [...news.answering],
        answeringMsAgo: [...news.answeringMsAgo],
        running: {...news.running},
        pressed: [...news.pressed],
        hasServed: news.hasServed,
        isUrgent,
        suspectsVersion: this.options.readSuspectsVersion(),
        demand: {...news.demand},
        ...known,
      },
      ASK_TIMEOUT_MS,
    );
    this.apply(answer, askedAt, tableTag);
    if (answer.limitsTag !== undefined) {
      const {limitsTag, limits = []} = answer;
      this.options.limits.applyNews(known.limits, limitsTag, limits);
    }
  }

  private apply(answer: Answer, askedAt: number, askedTag: string): void {
    const known = this.routeIndex?.rules.version ?? 0;
    // A version that was in force here must never be followed by an older one.
    if (answer.rulesVersion < known) {
      return;
    }
    const rules = answer.rules && rulesCodec.decode(answer.rules);
    if (rules && rules.version > known) {
      this.routeIndex = RouteIndex.create(rules);
      this.options.events.record({
        type: 'rules-in-force',
        subject: 'bundle',
        id: String(rules.version),
        reason: 'control told a newer version',
        details: {
          before: known,
          askedMsAgo: this.options.clock.now() - askedAt,
        },
      });
    }
    if (answer.rulesVersion > 0) {
      this.confirmedAt = Math.max(this.confirmedAt, askedAt);
    }
    // Changes fit the table that they were asked for; another answer may have come before.
    const fits = answer.isWholeTable !== false || askedTag === this.tableTag;
    if (answer.targets && fits) {
      this.applyTargets(answer, answer.targets);
    }
    if (answer.suspects) {
      this.options.onSuspects(answer.suspects);
    }
    this.gatewayCount = answer.gateways;
    this.options.onRunning(answer.runningElsewhere, answer.gateways - 1);
    this.options.onControl(answer.control);
  }

  /**
   * Changes add and retire; so does the whole table of a new leader, which has not
   * heard everybody yet.
   */
  private applyTargets(answer: Answer, told: readonly GatewayTarget[]): void {
    const isReplaced = answer.isComplete && answer.isWholeTable !== false;
    const targets = new Map(isReplaced ? [] : this.targets);
    const retired = new Set(answer.retired);
    // A goodbye that names no start is that of the one known here; a new start is told.
    for (const [incarnation, {name}] of targets) {
      if (name !== undefined && retired.has(name)) {
        targets.delete(incarnation);
      }
    }
    told.forEach(target => targets.set(target.incarnation, target));
    answer.retired?.forEach(incarnation => targets.delete(incarnation));
    answer.closed?.forEach(incarnation => targets.delete(incarnation));
    this.targets = targets;
    this.tableTag = answer.tableTag;
    this.options.onTargets(targets);
  }

  private recordConnection(isConnected: boolean, reason: string): void {
    // A feed that closes ends its own connection, which says nothing about control.
    if (this.isConnected === isConnected || this.isClosed) {
      return;
    }
    this.isConnected = isConnected;
    this.options.events.record({
      type: isConnected ? 'control-reached' : 'control-lost',
      subject: 'control',
      id: this.options.gatewayId,
      reason,
    });
  }
}
