/** Long-polls the control processes for the rules in force and the backend servers, and tracks how fresh they are. */
import {Clock} from '../../common/clock';
import {EventRing} from '../../common/event_ring';
import {ServerAddress} from '../../common/server_address';
import {ThrottledEventLog} from '../../common/throttled_event_log';
import {ControlClient} from '../../protocol/control_client';
import {ControlMessage} from '../../protocol/control_message';
import {GatewayTarget} from '../../protocol/gateway_target';
import {GatewayTargetMessage} from '../../protocol/gateway_target_message';
import {MessageOf} from '../../protocol/message_of';
import {ModelDemand} from '../../protocol/model_demand';
import {parseAddresses} from '../../protocol/parse_addresses';
import {QueueReport} from '../../protocol/queue_report';
import {SuspectUpdate} from '../../protocol/suspect_update';
import {rulesCodec} from '../../protocol/rules_codec';
import {recordMalformedAddress} from '../../reporting/record_malformed_address';
import {BackendRateLimits} from '../limits/backend_rate_limits';
import {RouteIndex} from '../routing/route_index';
import {GatewayCounts} from './gateway_counts';
import {ModelAdmissions} from './model_admissions';
import {parseTargets} from './parse_targets';
import {recordLeftOutTarget} from './record_left_out_target';
import {ZoneEvacuations} from './zone_evacuations';

/** Longer than the control plane delays the answer to a poll without an update. */
const POLL_TIMEOUT_MS = 2_500;
/** Pause between a failed poll and the next one. */
const RETRY_DELAY_MS = 50;

type PollAnswer = MessageOf<ControlMessage, 'gateway-answer'>;

/** What the gateway reports to the control plane with each poll. */
interface GatewayReport {
  readonly stalled: readonly string[];
  readonly answering: readonly string[];
  /** Milliseconds since data was last received from each of `answering`, in the same order. */
  readonly answeringMsAgo: readonly number[];
  readonly running: Readonly<Record<string, number>>;
  /** Heads that recently answered that they do not serve their group. */
  readonly closedHeads: ReadonlyArray<{incarnation: string; epoch: number}>;
  /** Models whose requests were refused recently because no slot was free. */
  readonly saturatedModels: readonly string[];
  readonly hasServed: boolean;
  /** Demand of callers, by model. */
  readonly demand: Readonly<Record<string, ModelDemand>>;
  /** Requests that wait or arrive, by model and urgency. */
  readonly queues: readonly QueueReport[];
}

interface ControlPollerOptions {
  readonly gatewayId: string;
  readonly client: ControlClient;
  readonly clock: Clock;
  readonly events: EventRing;
  /** How long an answer confirms the rules, in milliseconds from when the poll was sent. */
  readonly confirmationMs: number;
  /** Time within which a confirmed change is in force at every gateway, in milliseconds. */
  readonly changesWithinMs: number;
  readonly collectReport: () => GatewayReport;
  /** Called with the requests that other gateways run at each backend server. */
  readonly onRunning: (
    running: Readonly<Record<string, number>>,
    otherGateways: number,
  ) => void;
  /** Returns the version of the list of suspected requests that this gateway has. */
  readonly readSuspectsVersion: () => number;
  readonly onSuspects: (update: SuspectUpdate) => void;
  /** Rate limits of backend servers, which gateways exchange through control. */
  readonly limits: Pick<
    BackendRateLimits,
    'describeChanges' | 'applyChanges' | 'recordTargets'
  >;
  readonly onTargets: (targets: ReadonlyMap<string, GatewayTarget>) => void;
  /** Called with the addresses of the control processes from each answer. */
  readonly onControl: (addresses: readonly ServerAddress[]) => void;
}

/** Polls the control plane until it is closed. */
export class ControlPoller {
  /** The evacuated zones; as fresh as the rules. */
  readonly evacuations: ZoneEvacuations;
  /** What the leader admits by urgency. */
  readonly admissions: ModelAdmissions;
  private currentIndex: RouteIndex | undefined;
  private targets = new Map<string, GatewayTarget>();
  private tableTag = '';
  private confirmedAt = -Infinity;
  private readonly gatewayCounts: GatewayCounts;
  private readonly eventLog: ThrottledEventLog;
  private isConnected: boolean | undefined;
  private isReporting = false;
  private isClosed = false;

  private constructor(private readonly options: ControlPollerOptions) {
    const {clock, events, gatewayId} = options;
    this.gatewayCounts = GatewayCounts.create(clock);
    this.eventLog = ThrottledEventLog.create(events, clock);
    this.evacuations = ZoneEvacuations.create(events);
    this.admissions = ModelAdmissions.create(clock, events, gatewayId);
    void this.follow();
  }

  /**
   * Starts polling.
   *
   * @example
   * const poller = ControlPoller.create({gatewayId, client, clock, events, confirmationMs, changesWithinMs, collectReport, onTargets, onControl});
   */
  static create(options: ControlPollerOptions): ControlPoller {
    return new ControlPoller(options);
  }

  /** The rules in force; undefined until the first arrive. */
  get index(): RouteIndex | undefined {
    return this.currentIndex;
  }

  /** Number of gateways among which shared limits are divided. */
  get gatewayCount(): number {
    return this.gatewayCounts.largest;
  }

  /** The number of gateways and the age of that count, for the log. */
  describeGateways() {
    const {gatewayCount: gateways, confirmationAgeMs: countedMsAgo} = this;
    return {gateways, countedMsAgo};
  }

  /** True if the control plane confirmed the rules recently enough to serve requests by them. */
  isConfirmed(): boolean {
    const {clock, confirmationMs} = this.options;
    return clock.now() - this.confirmedAt < confirmationMs;
  }

  /**
   * True if the last confirmed poll was sent less than `changesWithinMs` ago. Every
   * change that was confirmed longer ago than that is then in force here.
   */
  isCurrent(): boolean {
    return this.confirmationAgeMs < this.options.changesWithinMs;
  }

  /** Milliseconds since the newest confirmed poll was sent. */
  get confirmationAgeMs(): number {
    return this.options.clock.now() - this.confirmedAt;
  }

  /** Reports to the control plane at once, in parallel to the poll that the control plane holds. */
  reportNow(): void {
    if (this.isReporting || this.isClosed) {
      return;
    }
    this.isReporting = true;
    this.askOnce(true)
      .catch((error: Error) => this.recordConnection(false, error.message))
      .finally(() => (this.isReporting = false));
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
        await new Promise(resolve => setTimeout(resolve, RETRY_DELAY_MS));
      }
    }
  }

  private async askOnce(isUrgent: boolean): Promise<void> {
    const {client, clock, gatewayId, collectReport} = this.options;
    const askedAt = clock.now();
    const report = collectReport();
    const limitsReport = this.options.limits.describeChanges();
    const {tableTag} = this;
    const answer = await client.ask<'gateway-ask'>(
      {
        type: 'gateway-ask',
        gatewayId,
        rulesVersion: this.currentIndex?.rules.version ?? 0,
        tableTag,
        stalled: [...report.stalled],
        answering: [...report.answering],
        answeringMsAgo: [...report.answeringMsAgo],
        running: {...report.running},
        closedHeads: [...report.closedHeads],
        pressed: [...report.saturatedModels],
        hasServed: report.hasServed,
        isUrgent,
        suspectsVersion: this.options.readSuspectsVersion(),
        evacuationsVersion: this.evacuations.version,
        demand: {...report.demand},
        // The leader compares urgencies, which do not differ in other deployments.
        queues: this.currentIndex?.hasPriorities
          ? [...report.queues]
          : undefined,
        ...limitsReport,
      },
      POLL_TIMEOUT_MS,
    );
    this.apply(answer, askedAt, tableTag);
    if (answer.limitsTag !== undefined) {
      const {limitsTag, limits = []} = answer;
      this.options.limits.applyChanges(
        limitsReport.limits,
        limitsTag,
        limits,
        limitsReport.cold,
      );
    }
  }

  private apply(
    answer: PollAnswer,
    askedAt: number,
    askedWithTag: string,
  ): void {
    const knownVersion = this.currentIndex?.rules.version ?? 0;
    const askedMsAgo = this.options.clock.now() - askedAt;
    // Neither the rules nor the evacuations may go back to an older version.
    if (
      answer.rulesVersion < knownVersion ||
      !this.evacuations.apply(answer, askedMsAgo)
    ) {
      return;
    }
    const rules = answer.rules && rulesCodec.decode(answer.rules);
    if (rules && rules.version > knownVersion) {
      this.currentIndex = RouteIndex.create(rules);
      this.options.events.record({
        type: 'rules-in-force',
        subject: 'bundle',
        id: String(rules.version),
        reason: 'control sent a newer version of the rules',
        details: {before: knownVersion, askedMsAgo},
      });
    }
    if (answer.rulesVersion > 0) {
      this.confirmedAt = Math.max(this.confirmedAt, askedAt);
    }
    // A delta applies only to the table that the poll named; another answer may have replaced it.
    const isApplicable =
      answer.isWholeTable !== false || askedWithTag === this.tableTag;
    if (answer.targets && isApplicable) {
      this.applyTargets(answer, answer.targets);
    }
    if (answer.suspects) {
      this.options.onSuspects(answer.suspects);
    }
    this.admissions.record(answer.admissions, askedAt);
    this.gatewayCounts.record(answer.gateways);
    this.options.onRunning(answer.runningElsewhere, answer.gateways - 1);
    const control = parseAddresses(answer.control, error =>
      recordMalformedAddress(this.eventLog, this.options.gatewayId, error),
    );
    this.options.onControl(control);
  }

  /**
   * Replaces the table only if it is complete. A delta adds and removes targets, and so
   * does the full table of a new leader, which has not heard from every backend server yet.
   */
  private applyTargets(
    answer: PollAnswer,
    received: readonly GatewayTargetMessage[],
  ): void {
    const {targets: added, malformed} = parseTargets(received);
    const isReplaced = answer.isComplete && answer.isWholeTable !== false;
    const targets = new Map(isReplaced ? [] : this.targets);
    const retired = new Set(answer.retired);
    // A retirement by name refers to the incarnation known here; a newer one is listed among the targets.
    for (const [incarnation, {name}] of targets) {
      if (name !== undefined && retired.has(name)) {
        targets.delete(incarnation);
      }
    }
    // The address at which such a target was known is no longer its own.
    for (const each of malformed) {
      targets.delete(each.target.incarnation);
      recordLeftOutTarget(this.eventLog, each);
    }
    for (const target of added) {
      // A new leader does not know the zone before the backend server has registered.
      const zone = target.zone || (targets.get(target.incarnation)?.zone ?? '');
      targets.set(target.incarnation, {...target, zone});
    }
    this.options.limits.recordTargets(added, answer.limitsTag);
    answer.retired?.forEach(incarnation => targets.delete(incarnation));
    answer.closed?.forEach(incarnation => targets.delete(incarnation));
    this.targets = targets;
    this.tableTag = answer.tableTag;
    this.options.onTargets(targets);
  }

  private recordConnection(isConnected: boolean, reason: string): void {
    // Closing the poller ends its own connection, which says nothing about the control plane.
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
