/**
 * Simulates hosts and groups with a virtual clock and a scenario of failures, to
 * score repair policies. Network, processes and requests are not modelled: control
 * sees host reports, and a group serves when all its members are up and have loaded
 * their weights.
 */
import {GroupAction} from '../src/coordination/groups/group_action';
import {GroupPlanInput} from '../src/coordination/groups/group_plan_input';
import {HostView} from '../src/coordination/groups/host_view';
import {Bundle} from '../src/protocol/bundle';
import {Group} from '../src/protocol/group';
import {HostReport} from '../src/protocol/host_report';
import {GroupTable} from '../src/state/group_table';
import {Fleet} from '../src/control/fleet';

const TICK_MS = 100;
const REPORT_INTERVAL_MS = 300;
const MS_PER_SECOND = 1_000;
const ACCELERATORS_PER_HOST = 8;
/** Time that a new epoch takes to start when all its members hold the weights. */
const GROUP_RESTART_MS = 1_000;

/** One failure or recovery of a host. */
interface FailureEvent {
  /** Milliseconds since the start of the scenario. */
  readonly at: number;
  readonly host: string;
  /** After `pause` a host keeps its state; after `crash` it has a new incarnation and no weights. */
  readonly type: 'pause' | 'crash' | 'back';
}

/** A named sequence of failures. */
export interface FailureScenario {
  readonly name: string;
  readonly events: readonly FailureEvent[];
}

/** The two measures of repair quality, and their weighted sum. */
export interface RepairScore {
  /** Seconds without service, summed over the groups that the bundle asks for. */
  readonly downSeconds: number;
  /** Seconds of healthy accelerators outside serving groups, summed over accelerators. */
  readonly strandedSeconds: number;
  readonly cost: number;
}

/** Plans the groups, and which model each free host preloads. */
export interface RepairPolicy {
  readonly plan: (input: GroupPlanInput) => GroupAction[];
  readonly planStandby?: (input: GroupPlanInput) => Map<string, string>;
}

interface SimulatedHost {
  readonly hostId: string;
  readonly domain: string;
  isUp: boolean;
  incarnation: number;
  /** Model whose weights the engine holds or loads; it holds them from `loadedAt` on. */
  loaded: string;
  loadedAt: number;
}

/** The size of the simulated fleet, its bundle and the policy under test. */
interface FleetSimulatorOptions {
  readonly bundle: Bundle;
  readonly domains: number;
  readonly hostsPerDomain: number;
  readonly policy: RepairPolicy;
}

/** Runs one failure scenario under one repair policy. */
export class FleetSimulator {
  private now = 0;
  private readonly hosts = new Map<string, SimulatedHost>();
  private readonly table = GroupTable.create();
  private readonly fleet = Fleet.create();
  private readonly groupReadyAt = new Map<string, number>();
  private loadEndTimes: number[] = [];

  private constructor(private readonly options: FleetSimulatorOptions) {
    for (let domain = 0; domain < options.domains; domain += 1) {
      for (let at = 0; at < options.hostsPerDomain; at += 1) {
        const hostId = `d${domain}h${at}`;
        this.hosts.set(hostId, {
          hostId,
          domain: `d${domain}`,
          isUp: true,
          incarnation: 0,
          loaded: '',
          loadedAt: 0,
        });
      }
    }
  }

  /** Simulates a scenario for `totalMs` and returns its score. */
  static run(
    options: FleetSimulatorOptions,
    scenario: FailureScenario,
    totalMs: number,
  ): RepairScore {
    const simulator = new FleetSimulator(options);
    simulator.advanceToSteadyState();
    let downMs = 0;
    let strandedMs = 0;
    for (let time = 0; time < totalMs; time += TICK_MS) {
      scenario.events
        .filter(event => event.at === time)
        .forEach(event => simulator.applyEvent(event));
      simulator.advance();
      downMs += simulator.countMissingGroups() * TICK_MS;
      strandedMs += simulator.countStrandedAccelerators() * TICK_MS;
    }
    return simulator.computeScore(
      downMs / MS_PER_SECOND,
      strandedMs / MS_PER_SECOND,
    );
  }

  /** Forms all groups that the bundle asks for and marks their weights as loaded. */
  private advanceToSteadyState(): void {
    for (let round = 0; round < 20; round += 1) {
      this.advance();
    }
    this.groupReadyAt.clear();
    this.loadEndTimes = [];
    // The scenario starts on a fleet whose loads have all finished.
    this.hosts.forEach(host => (host.loadedAt = 0));
  }

  private computeScore(
    downSeconds: number,
    strandedSeconds: number,
  ): RepairScore {
    const {weights, models} = this.options.bundle;
    const acceleratorsPerGroup =
      models[0].hostsPerReplica * ACCELERATORS_PER_HOST;
    const cost =
      weights.groupDowntime * downSeconds * acceleratorsPerGroup +
      weights.strandedAccelerators * strandedSeconds;
    return {downSeconds, strandedSeconds, cost};
  }

  private applyEvent({host: hostId, type}: FailureEvent): void {
    const host = this.getHost(hostId);
    if (type === 'back') {
      host.isUp = true;
      return;
    }
    host.isUp = false;
    if (type === 'crash') {
      host.incarnation += 1;
      host.loaded = '';
    }
  }

  private advance(): void {
    this.now += TICK_MS;
    if (this.now % REPORT_INTERVAL_MS === 0) {
      this.hosts.forEach(
        host =>
          host.isUp && this.fleet.recordHost(this.createReport(host), this.now),
      );
    }
    const {plan, planStandby} = this.options.policy;
    const input = {
      bundle: this.options.bundle,
      groups: this.table.list(),
      hosts: this.listHostViews(),
      findEpoch: (groupId: string) => this.table.findEpoch(groupId),
      now: this.now,
    };
    planStandby?.(input).forEach((model, hostId) => this.load(hostId, model));
    plan(input).forEach(action => this.apply(action));
  }

  private listHostViews(): HostView[] {
    return this.fleet.listHosts(this.now, () => false);
  }

  private createReport(host: SimulatedHost): HostReport {
    const {hostId, domain} = host;
    const incarnation = String(host.incarnation);
    const group = this.table.findByHost(hostId);
    const member = group?.members.find(known => known.hostId === hostId);
    const isMember = group !== undefined && member?.incarnation === incarnation;
    return {
      hostId,
      incarnation,
      zone: 'z',
      domain,
      address: hostId,
      backend: {
        kind: 'model',
        name: host.loadedAt <= this.now ? host.loaded || 'none' : 'loading',
        accelerators: ACCELERATORS_PER_HOST,
      },
      isLeaving: false,
      assignment: isMember ? {groupId: group.id, epoch: group.epoch} : null,
      told: null,
      isServing: isMember && this.isServing(group),
      missing: [],
      running: 0,
      isDrained: group?.isDraining ?? false,
      bundleVersion: 1,
    };
  }

  private apply(action: GroupAction): void {
    if (action.type === 'set-group') {
      const {group} = action;
      if (this.table.set(group).isAccepted) {
        this.groupReadyAt.set(group.id, this.now + GROUP_RESTART_MS);
        group.members.forEach(member => this.load(member.hostId, group.name));
      }
    } else if (action.type === 'remove-group') {
      this.table.remove(action.groupId, action.epoch);
    } else {
      this.table.drain(action.groupId, action.epoch);
    }
  }

  /** Loads weights; the weight store serves `concurrentLoads` at once and queues the rest. */
  private load(hostId: string, model: string): void {
    const host = this.getHost(hostId);
    if (!host.isUp || host.loaded === model) {
      return;
    }
    const {weightStore, models} = this.options.bundle;
    const seconds =
      models.find(known => known.name === model)?.loadSeconds ?? 0;
    this.loadEndTimes = this.loadEndTimes
      .filter(endTime => endTime > this.now)
      .sort((a, b) => a - b);
    const isSaturated = this.loadEndTimes.length >= weightStore.concurrentLoads;
    const start = isSaturated
      ? this.loadEndTimes[
          this.loadEndTimes.length - weightStore.concurrentLoads
        ]
      : this.now;
    host.loaded = model;
    host.loadedAt = start + seconds * MS_PER_SECOND;
    this.loadEndTimes.push(host.loadedAt);
  }

  private isServing(group: Group): boolean {
    const isReady = this.now >= (this.groupReadyAt.get(group.id) ?? 0);
    return (
      isReady &&
      group.members.every(member => {
        const host = this.getHost(member.hostId);
        const isSameIncarnation =
          String(host.incarnation) === member.incarnation;
        return (
          host.isUp &&
          isSameIncarnation &&
          host.loaded === group.name &&
          host.loadedAt <= this.now
        );
      })
    );
  }

  private countMissingGroups(): number {
    const serving = this.table.list().filter(group => this.isServing(group));
    return this.options.bundle.models.reduce((sum, model) => {
      const count = serving.filter(group => group.name === model.name).length;
      return sum + Math.max(0, model.replicas - count);
    }, 0);
  }

  private countStrandedAccelerators(): number {
    const serving = this.table.list().filter(group => this.isServing(group));
    const servingHosts = new Set(
      serving.flatMap(group => group.members.map(member => member.hostId)),
    );
    const idle = [...this.hosts.values()].filter(
      host => host.isUp && !servingHosts.has(host.hostId),
    );
    return idle.length * ACCELERATORS_PER_HOST;
  }

  private getHost(hostId: string): SimulatedHost {
    return this.hosts.get(hostId) as SimulatedHost;
  }
}
