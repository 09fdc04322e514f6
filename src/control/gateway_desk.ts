/** The leader's answers to gateways, to operators on a channel and to backend servers. */
import {Clock} from '../common/clock';
import {EventRing} from '../common/event_ring';
import {ChannelBundle} from '../protocol/channel_bundle';
import {checkGatewayRules} from '../protocol/check_gateway_rules';
import {ControlMessage} from '../protocol/control_message';
import {MessageOf} from '../protocol/message_of';
import {ModelDemand} from '../protocol/model_demand';
import {splitIdentity} from '../protocol/split_identity';
import {CommandResult} from '../state/command_result';
import {BackendRegistry} from './backend_registry';
import {checkCopies} from './check_copies';
import {ChangeSignal} from './change_signal';
import {ControlError} from './control_error';
import {ControlSettings} from './control_settings';
import {EncodedRules} from './encoded_rules';
import {LimitDesk} from './limit_desk';
import {RaftRuntime} from './raft_runtime';
import {RegistrationDesk} from './registration_desk';
import {TargetTable} from './target_table';

/** How long a gateway's question is held while there is nothing new to tell. */
const HOLD_MS = 250;
/** Silence after which a gateway no longer counts. */
const GATEWAY_PRESENT_MS = 3_000;
/** What a gateway says about a backend server counts for this long. */
const WORD_MS = 2_000;
/**
 * Changes that come within this are told together: a group that ends is some ten of
 * them. It is short beside the 300 ms that an engine takes to open.
 */
const JOIN_MS = 5;

type Ask<T extends ControlMessage['type']> = MessageOf<ControlMessage, T>;

/** What a gateway last said. */
interface GatewayWord {
  readonly seenAt: number;
  readonly running: Readonly<Record<string, number>>;
  readonly demand: Readonly<Record<string, ModelDemand>>;
}

/** What the desk works on. */
interface GatewayDeskOptions {
  readonly settings: ControlSettings;
  readonly runtime: RaftRuntime;
  readonly registry: BackendRegistry;
  readonly clock: Clock;
  readonly signal: ChangeSignal;
  readonly events: EventRing;
  readonly identity: string;
}

/** Answers calls; the caller makes sure that this process leads. */
export class GatewayDesk {
  private readonly gateways = new Map<string, GatewayWord>();
  /** When a gateway last said so, by incarnation. */
  private readonly stalledAt = new Map<string, number>();
  /** When bytes of its answers last came to a gateway, by incarnation. */
  private readonly heardAt = new Map<string, number>();
  /** When a gateway last lacked places, by model. */
  private readonly pressedAt = new Map<string, number>();
  private expiredAt = -Infinity;
  private hasServedRequests = false;
  /** Changes that are written and not committed yet. */
  private readonly underWay: Array<
    ChannelBundle & {readonly written: Promise<CommandResult>}
  > = [];
  private readonly registrations: RegistrationDesk;
  private readonly table: TargetTable;
  private readonly limits: LimitDesk;
  private readonly encodedRules = EncodedRules.create();
  /** Requests of all gateways, by incarnation. */
  private readonly running = new Map<string, number>();
  private readonly joinedChanges = ChangeSignal.create();
  private isJoining = false;

  private constructor(private readonly options: GatewayDeskOptions) {
    const {registry, runtime, identity, signal} = options;
    const leaderName = splitIdentity(identity).name;
    this.table = TargetTable.create({registry, runtime, leaderName});
    const announce = () => this.announce();
    this.limits = LimitDesk.create({...options, leaderName, announce});
    signal.subscribe(() => this.joinChanges());
    this.registrations = RegistrationDesk.create({...options, announce});
    this.handlers = {...this.createHandlers(), ...this.limits.handlers};
  }

  /**
   * Creates a desk that knows no gateway.
   *
   * @example
   * const desk = GatewayDesk.create({settings, runtime, registry, clock, signal, identity});
   */
  static create(options: GatewayDeskOptions): GatewayDesk {
    return new GatewayDesk(options);
  }

  /** True once a gateway took a caller's request. */
  get hasServed(): boolean {
    return this.hasServedRequests;
  }

  /** Some gateway says that this backend server stopped answering. */
  isStalled(incarnation: string): boolean {
    return this.isRecent(this.stalledAt.get(incarnation));
  }

  /** When bytes of its answers last came to any gateway, as far as they told. */
  findHeardAt(incarnation: string): number {
    return this.heardAt.get(incarnation) ?? -Infinity;
  }

  /** Some gateway refused requests for want of a place at this model. */
  isPressed(model: string): boolean {
    return this.isRecent(this.pressedAt.get(model));
  }

  /** What callers of all gateways ask for, by model. */
  computeDemand(): Record<string, ModelDemand> {
    const sums: Record<string, ModelDemand> = {};
    for (const {demand} of this.gateways.values()) {
      for (const [model, part] of Object.entries(demand)) {
        sums[model] = addDemand(sums[model], part);
      }
    }
    return sums;
  }

  /** Wakes the gateways that wait for news. */
  announce(): void {
    this.options.signal.announce();
  }

  readonly handlers;

  private createHandlers() {
    return {
      'channel-bundle-ask': (ask: Ask<'channel-bundle-ask'>) =>
        this.acceptBundle(ask),
      'source-ask': ({call}: Ask<'source-ask'>): ControlMessage => {
        const source = this.options.runtime.state.channel.source ?? null;
        return {type: 'source-answer', call, source};
      },
      'registration-ask': (ask: Ask<'registration-ask'>) =>
        this.registrations.register(ask),
      'departure-ask': (ask: Ask<'departure-ask'>) =>
        this.registrations.depart(ask),
      'leaving-ask': (ask: Ask<'leaving-ask'>) =>
        this.registrations.recordLeaving(ask),
      'gateway-ask': (ask: Ask<'gateway-ask'>) => this.answerGateway(ask),
    };
  }

  private async acceptBundle({
    call,
    bundle,
  }: Ask<'channel-bundle-ask'>): Promise<ControlMessage> {
    const {settings, runtime, clock} = this.options;
    const startedAt = clock.now();
    if (!settings.trustedChannels?.includes(bundle.channel)) {
      throw new ControlError('the channel %s is not trusted', bundle.channel);
    }
    const wrong = findWrongRules(bundle);
    if (wrong !== undefined) {
      const {version} = runtime.state.channel;
      this.recordBundle(bundle, 'bundle-refused', wrong, startedAt);
      return {type: 'channel-bundle-answer', call, version, reason: wrong};
    }
    const reason = await this.writeOnce(bundle);
    const {version} = runtime.state.channel;
    this.recordBundle(bundle, 'bundle-taken', reason, startedAt);
    return {type: 'channel-bundle-answer', call, version, reason};
  }

  /** One change that came in several calls makes one entry of the log, not one for each. */
  private async writeOnce(bundle: ChannelBundle): Promise<string> {
    const {runtime} = this.options;
    const {version} = bundle.rules;
    const inForce = runtime.state.channel.version;
    if (version <= inForce) {
      return `version ${inForce} is in force, so ${version} changes nothing`;
    }
    const known = this.underWay.find(
      ({source, channel, rules}) =>
        rules.version === version &&
        channel === bundle.channel &&
        source === bundle.source,
    );
    if (known) {
      return (await known.written).reason;
    }
    checkCopies(this.options);
    const command = {
      type: 'accept-channel-bundle' as const,
      time: Date.now(),
      bundle,
    };
    const change = {...bundle, written: runtime.propose(command)};
    this.underWay.push(change);
    try {
      return (await change.written).reason;
    } finally {
      this.underWay.splice(this.underWay.indexOf(change), 1);
    }
  }

  private recordBundle(
    {rules, source}: ChannelBundle,
    type: 'bundle-taken' | 'bundle-refused',
    reason: string,
    startedAt: number,
  ): void {
    this.options.events.record({
      type,
      subject: 'bundle',
      id: String(rules.version),
      reason,
      details: {
        routes: rules.routes.length,
        bytes: source.length,
        tookMs: Math.round(this.options.clock.now() - startedAt),
      },
    });
  }

  private async answerGateway(
    ask: Ask<'gateway-ask'>,
  ): Promise<ControlMessage> {
    const {runtime, clock} = this.options;
    this.recordWord(ask, clock.now());
    if (!ask.isUrgent) {
      await this.waitForNews(ask);
    }
    const {raft, state} = runtime;
    const now = clock.now();
    const tag = this.table.readTag(now);
    const isNewTable = ask.tableTag !== tag;
    const isNewRules = ask.rulesVersion !== state.channel.version;
    const {suspects} = state;
    const {suspectsVersion = 0, limitsTag} = ask;
    const newLimitsTag = this.limits.readTag();
    const isNewList = suspectsVersion !== suspects.version;
    return {
      type: 'gateway-answer',
      call: ask.call,
      rulesVersion: state.channel.version,
      rules: isNewRules
        ? this.encodedRules.read(state.channel.rules)
        : undefined,
      tableTag: tag,
      ...(isNewTable ? this.table.describeSince(ask.tableTag, now) : {}),
      isComplete: this.table.isComplete(now),
      runningElsewhere: this.countRunning(ask.gatewayId),
      gateways: Math.max(1, this.gateways.size),
      control: [...raft.listVotersAt(raft.commitIndex).keys()],
      suspects: isNewList
        ? suspects.listChangesSince(suspectsVersion)
        : undefined,
      limitsTag: newLimitsTag,
      limits:
        limitsTag === undefined || limitsTag === newLimitsTag
          ? undefined
          : this.limits.describeSince(limitsTag),
    };
  }

  /** Holds a question until there is something new for its asker, or for as long as it may be held. */
  private async waitForNews(ask: Ask<'gateway-ask'>): Promise<void> {
    const {runtime, clock} = this.options;
    const until = clock.now() + HOLD_MS;
    for (;;) {
      const now = clock.now();
      const isUpToDate =
        ask.rulesVersion === runtime.state.channel.version &&
        (ask.suspectsVersion ?? 0) === runtime.state.suspects.version &&
        (ask.limitsTag ?? this.limits.readTag()) === this.limits.readTag() &&
        ask.tableTag === this.table.readTag(now);
      if (!isUpToDate || now >= until) {
        return;
      }
      await this.joinedChanges.waitForChange(until - now);
    }
  }

  private joinChanges(): void {
    if (this.isJoining) {
      return;
    }
    this.isJoining = true;
    setTimeout(() => {
      this.isJoining = false;
      this.joinedChanges.announce();
    }, JOIN_MS);
  }

  private countRunning(exceptId: string): Record<string, number> {
    const own = this.gateways.get(exceptId)?.running ?? {};
    const elsewhere: Record<string, number> = {};
    for (const [incarnation, count] of this.running) {
      const others = count - (own[incarnation] ?? 0);
      if (others > 0) {
        elsewhere[incarnation] = others;
      }
    }
    return elsewhere;
  }

  /** Takes what one gateway has running out of the sums, or puts it in. */
  private addRunning(word: GatewayWord | undefined, sign: 1 | -1): void {
    for (const [incarnation, count] of Object.entries(word?.running ?? {})) {
      const sum = (this.running.get(incarnation) ?? 0) + sign * count;
      if (sum > 0) {
        this.running.set(incarnation, sum);
      } else {
        this.running.delete(incarnation);
      }
    }
  }

  private recordWord(ask: Ask<'gateway-ask'>, now: number): void {
    const {gatewayId, running, demand = {}} = ask;
    const word = {seenAt: now, running, demand};
    this.addRunning(this.gateways.get(gatewayId), -1);
    this.addRunning(word, 1);
    this.gateways.set(gatewayId, word);
    for (const [id, silent] of this.gateways) {
      if (now - silent.seenAt > GATEWAY_PRESENT_MS) {
        this.addRunning(silent, -1);
        this.gateways.delete(id);
      }
    }
    ask.stalled.forEach(incarnation => this.stalledAt.set(incarnation, now));
    ask.answering.forEach((incarnation, at) => {
      // A gateway of an older version tells only that it heard it lately.
      const msAgo = ask.answeringMsAgo?.[at] ?? 0;
      const heardAt = Math.max(this.findHeardAt(incarnation), now - msAgo);
      this.heardAt.set(incarnation, heardAt);
    });
    this.limits.recordWords(gatewayId, ask.limits ?? []);
    ask.pressed.forEach(model => this.pressedAt.set(model, now));
    this.hasServedRequests ||= ask.hasServed;
    this.expireWords(now);
  }

  /** Backend servers come and go for as long as this process leads. */
  private expireWords(now: number): void {
    if (now - this.expiredAt < WORD_MS) {
      return;
    }
    this.expiredAt = now;
    for (const words of [this.stalledAt, this.heardAt]) {
      for (const [incarnation, at] of words) {
        if (now - at > WORD_MS) {
          words.delete(incarnation);
        }
      }
    }
  }

  private isRecent(at: number | undefined): boolean {
    return at !== undefined && this.options.clock.now() - at < WORD_MS;
  }
}

function findWrongRules({rules}: ChannelBundle): string | undefined {
  try {
    checkGatewayRules(rules);
    return undefined;
  } catch (error) {
    return (error as Error).message;
  }
}

function addDemand(
  sum: ModelDemand | undefined,
  part: ModelDemand,
): ModelDemand {
  return {
    requestsPerSecond: (sum?.requestsPerSecond ?? 0) + part.requestsPerSecond,
    promptTokensPerSecond:
      (sum?.promptTokensPerSecond ?? 0) + part.promptTokensPerSecond,
    answerTokensPerSecond:
      (sum?.answerTokensPerSecond ?? 0) + part.answerTokensPerSecond,
  };
}
