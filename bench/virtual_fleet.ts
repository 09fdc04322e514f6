/**
 * Hosts and groups under a virtual clock, driven by a script of failures: what
 * the repair decisions are scored on. It knows no network, processes or
 * requests; control sees reports, and groups serve when every member is up and
 * has loaded.
 */
import {GroupAction} from '../src/coordination/groups/group_action';
import {GroupPlanInput} from '../src/coordination/groups/group_plan_input';
import {HostView} from '../src/coordination/groups/host_view';
import {Bundle} from '../src/protocol/bundle';
import {Group} from '../src/protocol/group';
import {HostReport} from '../src/protocol/host_report';
import {GroupTable} from '../src/state/group_table';
import {Fleet} from '../src/control/fleet';

const STEP_MS = 100;
const REPORT_MS = 300;
const MS_PER_SECOND = 1_000;
const ACCELERATORS = 8;
/** A group that only changed its epoch starts over without loading. */
const RESTART_MS = 1_000;

/** One change of the world. */
interface ScriptEvent {
  /** Milliseconds from the start. */
  readonly at: number;
  readonly host: string;
  /** `pause` and `cut` come back as they were; `crash` comes back empty. */
  readonly what: 'pause' | 'crash' | 'back';
}

/** A sequence of failures. */
export interface FailureScript {
  readonly name: string;
  readonly events: readonly ScriptEvent[];
}

/** The two measures of the brief, and their weighted sum. */
export interface RepairScore {
  /** Group-seconds that a wanted group did not serve. */
  readonly downSeconds: number;
  /** Accelerator-seconds of healthy accelerators outside serving groups. */
  readonly strandedSeconds: number;
  readonly cost: number;
}

/** What decides on groups, and what free hosts load in advance. */
export interface RepairPolicy {
  readonly plan: (input: GroupPlanInput) => GroupAction[];
  readonly planStandby?: (input: GroupPlanInput) => Map<string, string>;
}

interface VirtualHost {
  readonly hostId: string;
  readonly domain: string;
  isUp: boolean;
  incarnation: number;
  /** Weights that the engine holds, and when it will hold them. */
  loaded: string;
  loadedAt: number;
}

/** A fleet of `domains` with `hosts` each. */
interface VirtualFleetOptions {
  readonly bundle: Bundle;
  readonly domains: number;
  readonly hostsPerDomain: number;
  readonly policy: RepairPolicy;
}

/** Plays one script under one policy. */
export class VirtualFleet {
  private now = 0;
  private readonly hosts = new Map<string, VirtualHost>();
  private readonly table = GroupTable.create();
  private readonly fleet = Fleet.create();
  private readonly readyAt = new Map<string, number>();
  private loadsUntil: number[] = [];

  private constructor(private readonly options: VirtualFleetOptions) {
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

  /** Runs a script for a time and scores it. */
  static play(
    options: VirtualFleetOptions,
    script: FailureScript,
    totalMs: number,
  ): RepairScore {
    const fleet = new VirtualFleet(options);
    fleet.form();
    let downMs = 0;
    let strandedMs = 0;
    for (let time = 0; time < totalMs; time += STEP_MS) {
      script.events
        .filter(event => event.at === time)
        .forEach(event => fleet.happen(event));
      fleet.step();
      downMs += fleet.countDown() * STEP_MS;
      strandedMs += fleet.countStranded() * STEP_MS;
    }
    return fleet.score(downMs / MS_PER_SECOND, strandedMs / MS_PER_SECOND);
  }

  /** Starts with every wanted group formed and loaded. */
  private form(): void {
    for (let round = 0; round < 20; round += 1) {
      this.step();
    }
    this.readyAt.clear();
    this.loadsUntil = [];
    // The fleet has been up for long: whatever was loading has loaded.
    this.hosts.forEach(host => (host.loadedAt = 0));
  }

  private score(downSeconds: number, strandedSeconds: number): RepairScore {
    const {weights, models} = this.options.bundle;
    const perGroup = models[0].hostsPerReplica * ACCELERATORS;
    const cost =
      weights.groupDowntime * downSeconds * perGroup +
      weights.strandedAccelerators * strandedSeconds;
    return {downSeconds, strandedSeconds, cost};
  }

  private happen({host: hostId, what}: ScriptEvent): void {
    const host = this.get(hostId);
    if (what === 'back') {
      host.isUp = true;
      return;
    }
    host.isUp = false;
    if (what === 'crash') {
      host.incarnation += 1;
      host.loaded = '';
    }
  }

  private step(): void {
    this.now += STEP_MS;
    if (this.now % REPORT_MS === 0) {
      this.hosts.forEach(
        host => host.isUp && this.fleet.recordHost(this.report(host), this.now),
      );
    }
    const {plan, planStandby} = this.options.policy;
    const input = {
      bundle: this.options.bundle,
      groups: this.table.list(),
      hosts: this.listViews(),
      findEpoch: (groupId: string) => this.table.findEpoch(groupId),
      now: this.now,
    };
    planStandby?.(input).forEach((model, hostId) => this.load(hostId, model));
    plan(input).forEach(action => this.apply(action));
  }

  private listViews(): HostView[] {
    return this.fleet.listHosts(this.now, () => false);
  }

  private report(host: VirtualHost): HostReport {
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
        accelerators: ACCELERATORS,
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
        this.readyAt.set(group.id, this.now + RESTART_MS);
        group.members.forEach(member => this.load(member.hostId, group.name));
      }
    } else if (action.type === 'remove-group') {
      this.table.remove(action.groupId, action.epoch);
    } else {
      this.table.drain(action.groupId, action.epoch);
    }
  }

  /** Loads weights through the store's limited number of places. */
  private load(hostId: string, model: string): void {
    const host = this.get(hostId);
    if (!host.isUp || host.loaded === model) {
      return;
    }
    const {weightStore, models} = this.options.bundle;
    const seconds =
      models.find(known => known.name === model)?.loadSeconds ?? 0;
    this.loadsUntil = this.loadsUntil
      .filter(until => until > this.now)
      .sort((a, b) => a - b);
    const isFull = this.loadsUntil.length >= weightStore.concurrentLoads;
    const start = isFull
      ? this.loadsUntil[this.loadsUntil.length - weightStore.concurrentLoads]
      : this.now;
    host.loaded = model;
    host.loadedAt = start + seconds * MS_PER_SECOND;
    this.loadsUntil.push(host.loadedAt);
  }

  private isServing(group: Group): boolean {
    const isReady = this.now >= (this.readyAt.get(group.id) ?? 0);
    return (
      isReady &&
      group.members.every(member => {
        const host = this.get(member.hostId);
        const isSame = String(host.incarnation) === member.incarnation;
        return (
          host.isUp &&
          isSame &&
          host.loaded === group.name &&
          host.loadedAt <= this.now
        );
      })
    );
  }

  private countDown(): number {
    const serving = this.table.list().filter(group => this.isServing(group));
    return this.options.bundle.models.reduce((sum, model) => {
      const count = serving.filter(group => group.name === model.name).length;
      return sum + Math.max(0, model.replicas - count);
    }, 0);
  }

  private countStranded(): number {
    const serving = this.table.list().filter(group => this.isServing(group));
    const used = new Set(
      serving.flatMap(group => group.members.map(member => member.hostId)),
    );
    const idle = [...this.hosts.values()].filter(
      host => host.isUp && !used.has(host.hostId),
    );
    return idle.length * ACCELERATORS;
  }

  private get(hostId: string): VirtualHost {
    return this.hosts.get(hostId) as VirtualHost;
  }
}
