/**
 * Simulates a fleet of engines on a virtual clock, with the real planner: hosts are
 * lost, partitioned and added, groups are formed and dissolved, and weights are loaded
 * concurrently. It measures the fraction of the demand that the open groups could have
 * served, without any real time or process.
 */
import {countByDomain} from '../../src/coordination/groups/count_by_domain';
import {computeDesiredGroups} from '../../src/coordination/groups/compute_desired_groups';
import {ShareAdjuster} from '../../src/coordination/groups/share_adjuster';
import {EngineAction} from '../../src/coordination/groups/engine_action';
import {EnginePlanInput} from '../../src/coordination/groups/engine_plan_input';
import {createEnginePlanInput} from '../../src/coordination/groups/create_engine_plan_input';
import {planEngineGroups} from '../../src/coordination/groups/plan_engine_groups';
import {EngineGroup} from '../../src/protocol/engine_group';
import {createDemand} from './create_demand';
import {EngineFleetCoverage} from './engine_fleet_coverage';
import {EngineFleetOptions} from './engine_fleet_options';
import {EngineFleetResult} from './engine_fleet_result';
import {EngineHost} from './engine_host';
import {FleetEvent} from './fleet_event';
import {computeGroupDemand} from './compute_group_demand';
import {WeightStore} from './weight_store';

const PLAN_EVERY_MS = 40;
const SILENT_AFTER_MS = 3_600;
const REBALANCE_EVERY_MS = 2_500;
const PRESSED_MS = 2_000;
/** Time from a host's last report until the leader considers it lost. */
const DETECT_MS = 450;
/** Time until a head that lost a member has surely stopped, including the safety margin of control. */
const HEAD_STOP_MS = 5_500;
/** Slowdown of a group that spans several domains. */
const CROSS_DOMAIN_SLOWDOWN = 3;
const WARMUP_STEPS = 100;

type Order = Extract<EngineAction, {type: 'order'}>;

/** Simulates one fleet. */
export class EngineFleet {
  private now = 0;
  private epoch = 1;
  private readonly hosts = new Map<string, EngineHost>();
  private groups: EngineGroup[] = [];
  private readonly releasedAt = new Map<number, number>();
  private readonly returnsAt = new Map<string, number>();
  private readonly pressedAt = new Map<string, number>();
  private readonly store: WeightStore;
  private rebalancedAt = -Infinity;
  private adjuster = ShareAdjuster.create();
  private leadsAt = -Infinity;
  private readonly coverage: EngineFleetCoverage;
  private readonly hostSeconds = new Map<string, number>();
  private readonly log: string[] = [];

  private constructor(private readonly options: EngineFleetOptions) {
    const {profile} = options;
    this.store = WeightStore.create(profile);
    this.coverage = EngineFleetCoverage.create(profile, PLAN_EVERY_MS);
  }

  /**
   * Simulates the events and returns the coverage of the demand.
   *
   * @example
   * const {covered} = EngineFleet.run({profile, domains: {d: 11}, demand: {big: 1.8}, events, lengthMs, random});
   */
  static run(options: EngineFleetOptions): EngineFleetResult {
    const fleet = new EngineFleet(options);
    fleet.prepare();
    fleet.processEvents();
    return fleet.describe();
  }

  /** Plans without faults until the first groups are open, then gives every host a copy of each model. */
  private prepare(): void {
    const {domains, profile} = this.options;
    const [first, ...rest] = profile.models.map(({name}) => name);
    for (const [domain, count] of Object.entries(domains)) {
      for (let number = 0; number < count; number += 1) {
        const host = this.addHost(domain);
        host.loadedModel = first;
        host.stagedModels = rest.slice(-profile.keptModels);
      }
    }
    for (let step = 0; step < WARMUP_STEPS; step += 1) {
      this.now = (step - WARMUP_STEPS) * PLAN_EVERY_MS;
      this.advance();
      this.plan();
    }
    for (const host of this.hosts.values()) {
      host.stagedModels = [first, ...rest].filter(
        name => name !== host.loadedModel,
      );
    }
    this.store.clear();
    this.log.length = 0;
  }

  private processEvents(): void {
    const {lengthMs, events} = this.options;
    const due = [...events].sort((left, right) => left.at - right.at);
    for (this.now = 0; this.now < lengthMs; this.now += PLAN_EVERY_MS) {
      for (; due.length > 0 && due[0].at <= this.now; due.shift()) {
        this.applyEvent(due[0]);
      }
      this.advance();
      if (this.now >= this.leadsAt) {
        this.plan();
      }
      this.recordStates();
      this.measure();
    }
  }

  private addHost(domain: string): EngineHost {
    const id = `${domain}-${this.hosts.size}`;
    const host = EngineHost.create(id, domain, this.options.profile);
    this.hosts.set(id, host);
    return host;
  }

  private applyEvent(event: FleetEvent): void {
    const {random} = this.options;
    if (event.kind === 'add-host') {
      this.addHost(event.domain);
      return;
    }
    if (event.kind === 'change-leader') {
      this.adjuster = ShareAdjuster.create();
      this.leadsAt = this.now + event.durationMs;
      return;
    }
    const present = [...this.hosts.values()].filter(
      host => host.silentSince === undefined,
    );
    if (event.kind === 'cut-domain') {
      present
        .filter(host => host.domain === event.domain)
        .forEach(host => this.cut(host, event.durationMs));
      return;
    }
    if (event.kind === 'lose-member') {
      const {domain, model} = event;
      const members = present.filter(host => {
        const group = host.domain === domain && this.findGroup(host);
        return group && (model === undefined || group.model === model);
      });
      const lost = members.at(Math.floor(random() * members.length));
      if (lost) {
        Object.assign(lost, {silentSince: this.now, isLost: true});
      }
      return;
    }
    for (let count = 0; count < event.hosts; count += 1) {
      const [cut] = present.splice(Math.floor(random() * present.length), 1);
      this.cut(cut, event.durationMs);
    }
  }

  private cut(host: EngineHost, durationMs: number): void {
    host.silentSince = this.now;
    this.returnsAt.set(host.id, this.now + durationMs);
  }

  private advance(): void {
    this.store.advance(this.now, PLAN_EVERY_MS);
    for (const host of this.hosts.values()) {
      if ((this.returnsAt.get(host.id) ?? Infinity) <= this.now) {
        this.returnsAt.delete(host.id);
        host.silentSince = undefined;
      }
      host.advance(this.now);
    }
  }

  private plan(): void {
    const {policy, profile, onPlan} = this.options;
    const {now} = this;
    const backends = [...this.hosts.values()]
      .filter(
        host => !host.isLost || !this.isLost(host.id) || this.findGroup(host),
      )
      .map(host => host.createView());
    const domains = countByDomain(
      backends.filter(view => !this.isLost(view.registration.incarnation)),
    );
    const input = this.createPlanInput(domains, {
      pool: 'p',
      profile,
      groups: this.groups,
      backends,
      isColdStart: this.groups.length === 0,
      now,
      silentAfterMs: SILENT_AFTER_MS,
      isInGracePeriod: false,
      mayRebalance: now - this.rebalancedAt > REBALANCE_EVERY_MS,
      epoch: this.epoch,
      findLoadingModel: id => this.hosts.get(id)?.loading,
      isSaturated: model =>
        now - (this.pressedAt.get(model) ?? -Infinity) < PRESSED_MS,
      isRetired: () => false,
      isLost: id => this.isLost(id),
      isHeadStopped: ({epoch}) =>
        now - (this.releasedAt.get(epoch) ?? Infinity) > HEAD_STOP_MS,
      hasDepartedMember: group =>
        group.members
          .slice(1)
          .some(
            ({incarnation}) => !this.hosts.get(incarnation)?.isMemberOf(group),
          ),
      policy,
    });
    const actions = planEngineGroups(input);
    onPlan?.(input, actions);
    if (actions.some(action => 'isMove' in action && action.isMove)) {
      this.rebalancedAt = now;
    }
    actions.forEach(action => this.apply(action));
  }

  private createPlanInput(
    domains: readonly number[],
    configured: Omit<EnginePlanInput, 'desiredGroups'>,
  ): EnginePlanInput {
    const {followsDemand = true, weights} = this.options;
    const {profile} = configured;
    if (!followsDemand || this.now < 0) {
      return {
        ...configured,
        desiredGroups: computeDesiredGroups(profile, domains),
      };
    }
    const {adjuster} = this;
    const demand = this.measureDemand();
    return createEnginePlanInput({
      adjuster,
      input: configured,
      domains,
      demand,
      weights,
    }).input;
  }

  private measureDemand() {
    const {measureDemand, profile} = this.options;
    const groups = computeGroupDemand(this.options, this.now);
    return measureDemand?.(this.now) ?? createDemand(profile, groups);
  }

  private isLost(id: string): boolean {
    const since = this.hosts.get(id)?.silentSince;
    return since !== undefined && this.now - since > DETECT_MS;
  }

  private apply(action: EngineAction): void {
    if (action.type === 'order') {
      this.applyOrder(action);
      return;
    }
    if (action.type === 'set-group') {
      this.epoch += 1;
      this.groups.push({...action.group, epoch: this.epoch});
      const {name, domain} = action.group;
      this.log.push(`${this.now} set-group ${name} in ${domain}`);
      return;
    }
    const {type, name, epoch, reason} = action;
    this.log.push(`${this.now} ${type} ${name}: ${reason}`);
    const isOther = (group: EngineGroup) =>
      group.name !== name || group.epoch !== epoch;
    if (type === 'remove-group') {
      this.groups = this.groups.filter(isOther);
      return;
    }
    if (type === 'release-group') {
      this.releasedAt.set(epoch, this.now);
    }
    const mark = type === 'end-group' ? {isEnding: true} : {isReleased: true};
    this.groups = this.groups.map(group =>
      isOther(group) ? group : {...group, ...mark},
    );
  }

  private applyOrder(order: Order): void {
    const {kind, incarnation, group, isParking} = order;
    const host = this.hosts.get(incarnation);
    const model = this.options.profile.models.find(
      ({name}) => name === order.model,
    );
    if (!host || !model || host.silentSince !== undefined) {
      return;
    }
    const isMember = group !== undefined && host.isMemberOf(group);
    if (kind === 'join' || kind === 'stage') {
      const isDone = kind === 'join' && (isMember || (isParking && host.group));
      if (isDone || host.isBusy(kind) || !this.canLoad(order, model.loadMs)) {
        return;
      }
      const {slowdown} = this.store;
      if (kind === 'stage') {
        host.stage(model, this.now, slowdown);
      } else if (group) {
        host.join(group, model, this.now, slowdown);
      }
    } else if (isMember) {
      const handlers = {
        open: () => host.open(this.now),
        close: () => host.close(),
        leave: () => host.leave(),
      };
      handlers[kind]();
    }
  }

  private canLoad({isLoad, kind}: Order, loadMs: number): boolean {
    return !isLoad || this.store.startLoad(kind === 'stage', loadMs, this.now);
  }

  private findGroup(host: EngineHost): EngineGroup | undefined {
    return this.groups.find(({members}) =>
      members.some(({incarnation}) => incarnation === host.id),
    );
  }

  /** Records the fraction of each model's demand that its open groups without a silent member can serve now. */
  private measure(): void {
    const groupDemand = computeGroupDemand(this.options, this.now);
    const supply = new Map(
      this.options.profile.models.map(({name}) => [
        name,
        this.groups
          .filter(group => group.model === name && !group.isEnding)
          .reduce((sum, group) => sum + this.computeSupply(group), 0),
      ]),
    );
    this.coverage
      .add({supply, groupDemand, demand: this.measureDemand()})
      .forEach(name => this.pressedAt.set(name, this.now));
  }

  private computeSupply(group: EngineGroup): number {
    const hosts = group.members.flatMap(
      ({incarnation}) => this.hosts.get(incarnation) ?? [],
    );
    const [head] = hosts;
    const isOpen = head.isMemberOf(group) && head.group?.state === 'open';
    const isWhole = hosts.every(host => host.silentSince === undefined);
    const isSpread = new Set(hosts.map(host => host.domain)).size > 1;
    return isOpen && isWhole ? 1 / (isSpread ? CROSS_DOMAIN_SLOWDOWN : 1) : 0;
  }

  private recordStates(): void {
    for (const host of this.hosts.values()) {
      const state = this.describeState(host);
      const spent = this.hostSeconds.get(state) ?? 0;
      this.hostSeconds.set(state, spent + PLAN_EVERY_MS / 1_000);
    }
  }

  private describeState(host: EngineHost): string {
    if (host.silentSince !== undefined) {
      return 'silent or gone';
    }
    const group = this.findGroup(host);
    if (!group) {
      return host.loadedModel === undefined ? 'loading' : 'free';
    }
    if (group.isEnding) {
      const isHeld = this.isLost(group.members[0].incarnation);
      return isHeld ? 'held by a silent head' : 'taken apart';
    }
    return this.computeSupply(group) > 0 ? `serving ${group.model}` : 'forming';
  }

  private describe(): EngineFleetResult {
    return {
      ...this.coverage.describe(),
      loads: this.store.loadCount,
      hostSeconds: Object.fromEntries(this.hostSeconds),
      log: this.log,
    };
  }
}
