/** The leader's answers to gateways, to operators on a channel and to backend servers. */
import {Clock} from '../common/clock';
import {EventRing} from '../common/event_ring';
import {BackendView} from '../coordination/backend_view';
import {ChannelBundle} from '../protocol/channel_bundle';
import {checkGatewayRules} from '../protocol/check_gateway_rules';
import {ControlMessage} from '../protocol/control_message';
import {GatewayTarget} from '../protocol/gateway_target';
import {MessageOf} from '../protocol/message_of';
import {splitIdentity} from '../protocol/split_identity';
import {CommandResult} from '../state/command_result';
import {BackendRegistry} from './backend_registry';
import {checkCopies} from './check_copies';
import {ChangeSignal} from './change_signal';
import {ControlError} from './control_error';
import {ControlSettings} from './control_settings';
import {RaftRuntime} from './raft_runtime';
import {RegistrationDesk} from './registration_desk';

/** How long a gateway's question is held while there is nothing new to tell. */
const HOLD_MS = 250;
/** Silence after which a gateway no longer counts. */
const GATEWAY_PRESENT_MS = 3_000;
/** What a gateway says about a backend server counts for this long. */
const WORD_MS = 2_000;
/** After this long as leader every backend server that lives has been heard. */
const COMPLETE_AFTER_MS = 15_000;

type Ask<T extends ControlMessage['type']> = MessageOf<ControlMessage, T>;

/** What a gateway last said. */
interface GatewayWord {
  readonly seenAt: number;
  readonly running: Readonly<Record<string, number>>;
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
  private readonly answeringAt = new Map<string, number>();
  /** When a gateway last lacked places, by model. */
  private readonly pressedAt = new Map<string, number>();
  private hasServedRequests = false;
  /** Changes that are written and not committed yet. */
  private readonly underWay: Array<
    ChannelBundle & {readonly written: Promise<CommandResult>}
  > = [];
  private readonly registrations: RegistrationDesk;

  private constructor(private readonly options: GatewayDeskOptions) {
    this.registrations = RegistrationDesk.create({
      ...options,
      announce: () => this.announce(),
    });
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

  /** Some gateway heard this backend server lately. */
  isAnswering(incarnation: string): boolean {
    return this.isRecent(this.answeringAt.get(incarnation));
  }

  /** Some gateway refused requests for want of a place at this model. */
  isPressed(model: string): boolean {
    return this.isRecent(this.pressedAt.get(model));
  }

  /** Wakes the gateways that wait for news. */
  announce(): void {
    this.options.signal.announce();
  }

  readonly handlers = {
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
    'gateway-ask': (ask: Ask<'gateway-ask'>) => this.answerGateway(ask),
  };

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
    const {runtime, clock, signal} = this.options;
    this.recordWord(ask, clock.now());
    const {channel} = runtime.state;
    const isUpToDate =
      ask.rulesVersion === channel.version && ask.tableTag === this.tableTag;
    if (isUpToDate && !ask.isUrgent) {
      await signal.waitForChange(HOLD_MS);
    }
    const {raft, state} = runtime;
    const tag = this.tableTag;
    const isNewRules = ask.rulesVersion !== state.channel.version;
    return {
      type: 'gateway-answer',
      call: ask.call,
      rulesVersion: state.channel.version,
      rules: isNewRules ? state.channel.rules : undefined,
      tableTag: tag,
      ...(ask.tableTag === tag ? {} : this.describeTable()),
      isComplete: this.isTableComplete(clock.now()),
      runningElsewhere: this.countRunning(ask.gatewayId),
      gateways: Math.max(1, this.gateways.size),
      control: [...raft.listVotersAt(raft.commitIndex).keys()],
    };
  }

  private countRunning(exceptId: string): Record<string, number> {
    const sums: Record<string, number> = {};
    for (const [id, {running}] of this.gateways) {
      for (const [incarnation, count] of Object.entries(running)) {
        const added = id === exceptId ? 0 : count;
        sums[incarnation] = (sums[incarnation] ?? 0) + added;
      }
    }
    return sums;
  }

  private recordWord(ask: Ask<'gateway-ask'>, now: number): void {
    const {gatewayId, running} = ask;
    this.gateways.set(gatewayId, {seenAt: now, running});
    for (const [id, {seenAt}] of this.gateways) {
      if (now - seenAt > GATEWAY_PRESENT_MS) {
        this.gateways.delete(id);
      }
    }
    ask.stalled.forEach(incarnation => this.stalledAt.set(incarnation, now));
    ask.answering.forEach(incarnation =>
      this.answeringAt.set(incarnation, now),
    );
    ask.pressed.forEach(model => this.pressedAt.set(model, now));
    this.hasServedRequests ||= ask.hasServed;
  }

  private isRecent(at: number | undefined): boolean {
    return at !== undefined && this.options.clock.now() - at < WORD_MS;
  }

  private get tableTag(): string {
    const {registry, runtime, identity} = this.options;
    const {name} = splitIdentity(identity);
    const {engines, channel} = runtime.state;
    // The rules tell which pools there are, so a table is made under one version.
    return [
      name,
      runtime.raft.term,
      registry.version,
      engines.version,
      channel.version,
    ].join('/');
  }

  /** A new leader has not heard every backend server yet. */
  private isTableComplete(now: number): boolean {
    return now - this.options.runtime.leadingSince > COMPLETE_AFTER_MS;
  }

  private describeTable() {
    const {registry, runtime} = this.options;
    const {engines} = runtime.state;
    const views = registry.list();
    const targets = [
      ...this.listUnheardTargets(),
      ...views.flatMap(view => this.findTarget(view) ?? []),
    ];
    const serving = new Set(targets.map(target => target.incarnation));
    const closed = views
      .map(view => view.registration.incarnation)
      .filter(incarnation => !serving.has(incarnation));
    return {targets, closed, retired: [...engines.listRetired()]};
  }

  /**
   * Heads of the log's groups that a new leader has not heard yet. After all
   * processes were killed gateways know nobody, and waiting for registrations
   * would cost about one interval of them; a head that serves no more refuses.
   */
  private listUnheardTargets(): GatewayTarget[] {
    const {registry, runtime, clock} = this.options;
    const {engines, channel} = runtime.state;
    if (this.isTableComplete(clock.now())) {
      return [];
    }
    const heard = new Set(
      registry
        .list()
        .flatMap(({registration: {address, name}}) => [address, name]),
    );
    return engines.list().flatMap(({pool, model, epoch, members, isEnding}) => {
      const [{incarnation, name, address}] = members;
      const slots = channel.rules?.pools.find(other => other.name === pool)
        ?.engine?.slots;
      const isWhole = members.every(
        member => !engines.isRetired(member.incarnation),
      );
      return isEnding ||
        !isWhole ||
        slots === undefined ||
        heard.has(address) ||
        heard.has(name ?? address)
        ? []
        : [{incarnation, name, pool, address, zone: '', slots, model, epoch}];
    });
  }

  /** What a gateway may send there; undefined for nothing. */
  private findTarget({registration}: BackendView): GatewayTarget | undefined {
    const {engines, channel} = this.options.runtime.state;
    const {incarnation, name, pool, address, zone, slots, group} = registration;
    const known = channel.rules?.pools.find(other => other.name === pool);
    if (!known || engines.isRetired(incarnation)) {
      return undefined;
    }
    const target = {incarnation, name, pool, address, zone, slots};
    if (!known.engine) {
      return target;
    }
    const wanted = engines
      .list()
      .find(({members}) => members[0].incarnation === incarnation);
    const isOpen =
      group?.state === 'open' &&
      group.name === wanted?.name &&
      group.epoch === wanted.epoch;
    const isWhole =
      wanted?.isEnding === false &&
      wanted.members.every(member => !engines.isRetired(member.incarnation));
    return isOpen && isWhole
      ? {...target, model: wanted?.model, epoch: wanted?.epoch}
      : undefined;
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
