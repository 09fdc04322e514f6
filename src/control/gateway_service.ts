/** Serves the calls of gateways, of trusted rules channels and of backend servers on the leader. */
import {getOwn} from '../common/get_own';
import {Clock} from '../common/clock';
import {EventRing} from '../common/event_ring';
import {ControlMessage} from '../protocol/control_message';
import {MessageOf} from '../protocol/message_of';
import {ModelDemand} from '../protocol/model_demand';
import {QueueReport} from '../protocol/queue_report';
import {splitIdentity} from '../protocol/split_identity';
import {addDemand} from './add_demand';
import {BackendRegistry} from './backend_registry';
import {BundleService} from './bundle_service';
import {ChangeSignal} from './change_signal';
import {ClosedHeads} from './closed_heads';
import {ColdServerService} from './cold_server_service';
import {ControlSettings} from './control_settings';
import {describeEvacuations} from './describe_evacuations';
import {EncodedRulesCache} from './encoded_rules_cache';
import {EvacuationService} from './evacuation_service';
import {QueueReports} from './queue_reports';
import {RateLimitService} from './rate_limit_service';
import {RetryLoanService} from './retry_loan_service';
import {RaftRuntime} from './raft_runtime';
import {RegistrationService} from './registration_service';
import {TargetTable} from './target_table';

/** Long polling: a gateway's request is held this long while it has seen every update. */
const LONG_POLL_MS = 250;
/** Silence after which a gateway no longer counts as running. */
const GATEWAY_TIMEOUT_MS = 3_000;
/** A gateway's report on a backend server or a model is valid for this long. */
const REPORT_VALID_MS = 2_000;
/**
 * Changes within this time are sent to gateways in one update: the end of a group makes
 * about ten of them. The delay is short beside the 300 ms that an engine takes to open.
 */
const BATCH_MS = 5;

type Call<T extends ControlMessage['type']> = MessageOf<ControlMessage, T>;

/** The newest report of a gateway. */
interface GatewayReport {
  readonly seenAt: number;
  readonly running: Readonly<Record<string, number>>;
  readonly demand: Readonly<Record<string, ModelDemand>>;
  readonly queues?: readonly QueueReport[];
}

/** Dependencies of the service. */
interface GatewayServiceOptions {
  readonly settings: ControlSettings;
  readonly runtime: RaftRuntime;
  readonly registry: BackendRegistry;
  readonly clock: Clock;
  readonly signal: ChangeSignal;
  readonly events: EventRing;
  readonly identity: string;
  /**
   * Whether less urgent requests wait at all gateways for more urgent ones of any gateway. Off by
   * default: it refuses more requests in all.
   */
  readonly closesLevels?: boolean;
}

/** Serves rules, targets and limits to gateways, and combines their reports; its caller checks that this process leads. */
export class GatewayService {
  private readonly gateways = new Map<string, GatewayReport>();
  /** When a gateway last reported a backend server as stalled, by incarnation. */
  private readonly stalledAt = new Map<string, number>();
  /** When a gateway last received response bytes from a backend server, by incarnation. */
  private readonly lastActivityAt = new Map<string, number>();
  /** When a gateway last refused requests for lack of free slots, by model. */
  private readonly saturatedAt = new Map<string, number>();
  private expiredAt = -Infinity;
  private hasServedRequests = false;
  private readonly bundles: BundleService;
  private readonly registrations: RegistrationService;
  private readonly closedHeads = ClosedHeads.create();
  private readonly queueReports: QueueReports;
  private readonly targets: TargetTable;
  /** Which backend servers are cold. */
  readonly cold: ColdServerService;
  private readonly limits: RateLimitService;
  private readonly retryLoans: RetryLoanService;
  private readonly encodedRules = EncodedRulesCache.create();
  /** Running requests of all gateways together, by incarnation. */
  private readonly running = new Map<string, number>();
  private readonly batchedChanges = ChangeSignal.create();
  private isBatchPending = false;

  private constructor(private readonly options: GatewayServiceOptions) {
    this.queueReports = QueueReports.create(options.closesLevels ?? false);
    const leaderName = splitIdentity(options.identity).name;
    const notify = () => this.notifyGateways();
    const {heartbeatMs} = options.settings.pools ?? {};
    const shared = {...options, leaderName, heartbeatMs, notify};
    const cold = ColdServerService.create(shared);
    const {closedHeads} = this;
    this.cold = cold;
    this.targets = TargetTable.create({...shared, cold, closedHeads});
    this.limits = RateLimitService.create({...shared, cold});
    const {retries} = options.settings;
    this.retryLoans = RetryLoanService.create({...options, retries});
    options.signal.subscribe(() => this.scheduleNotification());
    this.bundles = BundleService.create(options);
    this.registrations = RegistrationService.create({...shared, cold});
    this.handlers = {
      ...this.createHandlers(),
      ...this.limits.handlers,
      ...this.retryLoans.handlers,
      ...EvacuationService.create({
        ...options,
        onRestored: zone => cold.recordZoneRestored(zone, options.clock.now()),
      }).handlers,
    };
  }

  /**
   * Creates a service without any gateways' reports.
   *
   * @example
   * const service = GatewayService.create({settings, runtime, registry, clock, signal, events, identity});
   */
  static create(options: GatewayServiceOptions): GatewayService {
    return new GatewayService(options);
  }

  /** True once a gateway has reported that it received a caller's request. */
  get hasServed(): boolean {
    return this.hasServedRequests;
  }

  /** True if a gateway reported recently that this backend server stopped sending. */
  isReportedStalled(incarnation: string): boolean {
    return this.isRecent(this.stalledAt.get(incarnation));
  }

  /** When any gateway last received response bytes from it; -Infinity if none reported that. */
  findLastActivityAt(incarnation: string): number {
    return this.lastActivityAt.get(incarnation) ?? -Infinity;
  }

  /** True if a gateway recently refused requests because no slot of this model was free. */
  isSaturated(model: string): boolean {
    return this.isRecent(this.saturatedAt.get(model));
  }

  /** The demand of all gateways' callers together, by model. */
  computeDemand(): Record<string, ModelDemand> {
    const sums: Record<string, ModelDemand> = {};
    for (const {demand} of this.gateways.values()) {
      for (const [model, part] of Object.entries(demand)) {
        sums[model] = addDemand(getOwn(sums, model), part);
      }
    }
    return sums;
  }

  /** The newest report of each gateway. */
  listReports(): GatewayReport[] {
    return [...this.gateways.values()];
  }

  /** Ends the long polls of gateways, so that they get the newest state. */
  notifyGateways(): void {
    this.options.signal.notify();
  }

  readonly handlers;

  private createHandlers() {
    return {
      'channel-bundle-ask': (request: Call<'channel-bundle-ask'>) =>
        this.bundles.accept(request),
      'source-ask': ({call}: Call<'source-ask'>): ControlMessage => {
        const source = this.options.runtime.state.channel.source ?? null;
        return {type: 'source-answer', call, source};
      },
      'registration-ask': (request: Call<'registration-ask'>) =>
        this.registrations.register(request),
      'departure-ask': (request: Call<'departure-ask'>) =>
        this.registrations.depart(request),
      'leaving-ask': (request: Call<'leaving-ask'>) =>
        this.registrations.recordLeaving(request),
      'gateway-ask': (poll: Call<'gateway-ask'>) => this.answerGateway(poll),
    };
  }

  private async answerGateway(
    poll: Call<'gateway-ask'>,
  ): Promise<ControlMessage> {
    const {runtime, clock} = this.options;
    this.recordReport(poll, clock.now());
    if (!poll.isUrgent) {
      await this.waitForUpdate(poll);
    }
    const {raft, state} = runtime;
    const now = clock.now();
    const tag = this.targets.readTag(now);
    const isTableNew = poll.tableTag !== tag;
    const hasNewRules = poll.rulesVersion !== state.channel.version;
    const {suspects} = state;
    const {suspectsVersion = 0, limitsTag} = poll;
    const newLimitsTag = this.limits.readTag();
    const isListNew = suspectsVersion !== suspects.version;
    return {
      type: 'gateway-answer',
      call: poll.call,
      rulesVersion: state.channel.version,
      rules: hasNewRules
        ? this.encodedRules.get(state.channel.rules)
        : undefined,
      tableTag: tag,
      ...(isTableNew ? this.targets.listChangesSince(poll.tableTag, now) : {}),
      isComplete: this.targets.isComplete(now),
      runningElsewhere: this.countRunningElsewhere(poll.gatewayId),
      gateways: Math.max(1, this.gateways.size),
      control: [...raft.listVotersAt(raft.commitIndex).keys()],
      suspects: isListNew
        ? suspects.listChangesSince(suspectsVersion)
        : undefined,
      ...describeEvacuations(state.evacuations, poll.evacuationsVersion),
      limitsTag: newLimitsTag,
      limits:
        limitsTag === undefined || limitsTag === newLimitsTag
          ? undefined
          : this.limits.listChangesSince(limitsTag),
      admissions: this.queueReports.list(poll.gatewayId, now),
    };
  }

  /** Holds a long poll until there is an update for its gateway, at most `LONG_POLL_MS`. */
  private async waitForUpdate(poll: Call<'gateway-ask'>): Promise<void> {
    const {runtime, clock} = this.options;
    const {evacuations} = runtime.state;
    const deadline = clock.now() + LONG_POLL_MS;
    for (;;) {
      const now = clock.now();
      const isUpToDate =
        poll.rulesVersion === runtime.state.channel.version &&
        (poll.suspectsVersion ?? 0) === runtime.state.suspects.version &&
        (poll.evacuationsVersion ?? evacuations.version) ===
          evacuations.version &&
        (poll.limitsTag ?? this.limits.readTag()) === this.limits.readTag() &&
        poll.tableTag === this.targets.readTag(now) &&
        !this.queueReports.hasChanged(poll.gatewayId, now);
      if (!isUpToDate || now >= deadline) {
        return;
      }
      await this.batchedChanges.waitForChange(deadline - now);
    }
  }

  private scheduleNotification(): void {
    if (this.isBatchPending) {
      return;
    }
    this.isBatchPending = true;
    setTimeout(() => {
      this.isBatchPending = false;
      this.batchedChanges.notify();
    }, BATCH_MS);
  }

  private countRunningElsewhere(gatewayId: string): Record<string, number> {
    const own = this.gateways.get(gatewayId)?.running ?? {};
    const elsewhere: Record<string, number> = {};
    for (const [incarnation, count] of this.running) {
      const others = count - (getOwn(own, incarnation) ?? 0);
      if (others > 0) {
        elsewhere[incarnation] = others;
      }
    }
    return elsewhere;
  }

  /** Adds the running requests of one gateway to the sums, or subtracts them. */
  private addRunning(report: GatewayReport | undefined, sign: 1 | -1): void {
    for (const [incarnation, count] of Object.entries(report?.running ?? {})) {
      const sum = (this.running.get(incarnation) ?? 0) + sign * count;
      if (sum > 0) {
        this.running.set(incarnation, sum);
      } else {
        this.running.delete(incarnation);
      }
    }
  }

  private recordReport(poll: Call<'gateway-ask'>, now: number): void {
    const {gatewayId, running, demand = {}, queues} = poll;
    const report = {seenAt: now, running, demand, queues};
    this.addRunning(this.gateways.get(gatewayId), -1);
    this.addRunning(report, 1);
    this.gateways.set(gatewayId, report);
    for (const [id, other] of this.gateways) {
      if (now - other.seenAt > GATEWAY_TIMEOUT_MS) {
        this.addRunning(other, -1);
        this.gateways.delete(id);
        this.queueReports.remove(id);
      }
    }
    if (this.queueReports.record(gatewayId, queues, now)) {
      this.scheduleNotification();
    }
    poll.stalled.forEach(incarnation => this.stalledAt.set(incarnation, now));
    poll.answering.forEach((incarnation, index) => {
      // Gateways of older versions report recent activity without its age.
      const msAgo = poll.answeringMsAgo?.[index] ?? 0;
      const at = Math.max(this.findLastActivityAt(incarnation), now - msAgo);
      this.lastActivityAt.set(incarnation, at);
    });
    this.limits.recordReports(gatewayId, poll.limits ?? []);
    this.retryLoans.refresh();
    this.withdrawClosedHeads(poll, now);
    this.cold.recordReport(poll);
    poll.pressed.forEach(model => this.saturatedAt.set(model, now));
    this.hasServedRequests ||= poll.hasServed;
    this.expireReports(now);
  }

  /** Tells the other gateways at once, before they send to a head that refuses everything. */
  private withdrawClosedHeads(
    {gatewayId, closedHeads = []}: Call<'gateway-ask'>,
    now: number,
  ): void {
    for (const head of this.closedHeads.record(closedHeads, now)) {
      this.options.events.record({
        type: 'head-withdrawn',
        subject: 'host',
        id: head.incarnation,
        reason: 'it answered a gateway that it does not serve its group',
        details: {epoch: head.epoch, gatewayId},
      });
      this.batchedChanges.notify();
    }
  }

  /** Drops old reports, since incarnations change for as long as this process leads. */
  private expireReports(now: number): void {
    if (now - this.expiredAt < REPORT_VALID_MS) {
      return;
    }
    this.expiredAt = now;
    for (const reports of [this.stalledAt, this.lastActivityAt]) {
      for (const [incarnation, at] of reports) {
        if (now - at > REPORT_VALID_MS) {
          reports.delete(incarnation);
        }
      }
    }
  }

  private isRecent(at: number | undefined): boolean {
    return at !== undefined && this.options.clock.now() - at < REPORT_VALID_MS;
  }
}
