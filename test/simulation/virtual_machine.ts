/** One machine: its disk, and one start after the other of the real control process's quorum part. */
import {Clock} from '../../src/common/clock';
import {EventRing} from '../../src/common/event_ring';
import {LeaseClock} from '../../src/common/lease_clock';
import {Timers} from '../../src/common/timers';
import {BackendRegistry} from '../../src/control/backend_registry';
import {ChangeSignal} from '../../src/control/change_signal';
import {ControlSettings} from '../../src/control/control_settings';
import {EVACUATED_ZONES} from './day_limits';
import {GatewayService} from '../../src/control/gateway_service';
import {QuorumMember} from '../../src/control/quorum_member';
import {RaftRuntime} from '../../src/control/raft_runtime';
import {Message} from '../../src/protocol/message';
import {ControlDataFolder} from '../../src/state/control_data_folder';
import {VirtualClocks} from './virtual_clocks';
import {VirtualDisk} from './virtual_disk';
import {Station, VirtualLinks, VirtualNet} from './virtual_links';

export const CHANNEL = 'operators';

/** What the machines of a day share. */
export interface VirtualFleet {
  readonly net: VirtualNet;
  readonly random: () => number;
  /** Voters that the quorum should have, and losses that it must bear. */
  readonly voters: number;
  readonly losses: number;
  /** A process ended by itself, or refused its own disk. */
  readonly onFailure: (name: string, error: Error) => void;
  readonly onRole: (name: string, runtime: RaftRuntime) => void;
}

interface Process {
  readonly station: Station;
  readonly links: VirtualLinks;
  readonly member: QuorumMember;
  readonly desk: () => GatewayService | undefined;
}

/** A machine at one address. */
export class VirtualMachine {
  private disk: VirtualDisk;
  private process: Process | undefined;
  private start: object | undefined;
  private frozenUntil = 0;
  /** When the running process began to listen. */
  listeningSince: number | undefined;
  /** Without power, so that nothing here refuses a connection. */
  isDark = false;
  private readonly clocks: VirtualClocks;
  private disksUsed = 0;
  /** Entries behind the snapshot after which a new one is taken. */
  private readonly snapshotEvery: number;

  private constructor(
    readonly name: string,
    readonly zone: string,
    private readonly fleet: VirtualFleet,
  ) {
    this.disk = VirtualDisk.create(fleet.net.time, fleet.random);
    this.clocks = VirtualClocks.create(fleet.net.time);
    this.snapshotEvery = 2 + Math.floor(fleet.random() * 30);
  }

  static create(
    name: string,
    zone: string,
    fleet: VirtualFleet,
  ): VirtualMachine {
    return new VirtualMachine(name, zone, fleet);
  }

  get isUp(): boolean {
    return this.start !== undefined;
  }

  get isFrozen(): boolean {
    return this.fleet.net.time.now() < this.frozenUntil;
  }

  /** The process that listens here, once its disk is opened. */
  get station(): Station | undefined {
    return this.process?.station;
  }

  get runtime(): RaftRuntime | undefined {
    return this.process?.member.runtime;
  }

  get desk(): GatewayService | undefined {
    return this.process?.desk();
  }

  /** Starts the process; its files may be those of the start before. */
  async boot(seeds: readonly string[], isFirstStart: boolean): Promise<void> {
    const start = {};
    this.start = start;
    this.isDark = false;
    const isAlive = () => this.start === start;
    const startedAt = this.clocks.steady.now();
    try {
      const disk = await ControlDataFolder.create('/data', this.name, {
        locksFolder: false,
        storage: this.disk.open(isAlive),
        createDiskId: () => `${this.disksUsed}`,
        timers: this.createTimers(isAlive),
      });
      this.process = this.run(disk, isAlive, start, {
        ...this.createSettings(seeds, isFirstStart),
        startedAt,
      });
      this.listeningSince = this.fleet.net.time.now();
      this.process.member.start();
    } catch (error) {
      this.fleet.onFailure(this.name, error as Error);
    }
  }

  /** The process ends; what it wrote stays as it is. */
  kill(): void {
    this.start = undefined;
    this.process = undefined;
    this.listeningSince = undefined;
    this.frozenUntil = 0;
  }

  losePower(): void {
    this.kill();
    this.isDark = true;
    this.disk.losePower();
  }

  /** The disk is lost with the power; an empty one takes its place. */
  wipe(): void {
    this.kill();
    this.isDark = true;
    this.disksUsed += 1;
    this.disk = VirtualDisk.create(this.fleet.net.time, this.fleet.random);
  }

  freeze(ms: number): void {
    this.frozenUntil = this.fleet.net.time.now() + ms;
  }

  /**
   * The machine stands still, and its steady clock with it.
   *
   * @param stepMs how far its time of day is set when it wakes
   */
  suspend(ms: number, stepMs: number): void {
    this.freeze(ms);
    this.clocks.suspend(ms, stepMs);
  }

  stallDisk(ms: number): void {
    this.disk.stalledUntil = this.fleet.net.time.now() + ms;
  }

  hangDisk(ms: number): void {
    this.disk.hangsUntil = this.fleet.net.time.now() + ms;
  }

  slowDisk(factor: number): void {
    this.disk.slowdown = factor;
  }

  stepClock(ms: number): void {
    this.clocks.step(ms);
  }

  fillDisk(isFull: boolean): void {
    this.disk.isFull = isFull;
  }

  private createSettings(
    seeds: readonly string[],
    isFirstStart: boolean,
  ): ControlSettings {
    const {voters, losses} = this.fleet;
    return {
      name: this.name,
      zone: this.zone,
      host: this.name,
      port: 1,
      dataFolder: '/data',
      peers: new Map(),
      trustedKeys: [],
      trustedChannels: [CHANNEL],
      listZones: () => EVACUATED_ZONES,
      leaseMs: 5_000,
      snapshotEvery: this.snapshotEvery,
      seeded: {seeds, isFirstStart, voters, minCopies: losses + 1},
    };
  }

  private run(
    disk: ControlDataFolder,
    isAlive: () => boolean,
    start: object,
    settings: ControlSettings,
  ): Process {
    const {net, random, onFailure, onRole} = this.fleet;
    const clock: Clock = this.clocks.steady;
    const leaseClock = LeaseClock.create({
      monotonic: clock,
      wall: this.clocks.readWall,
    });
    const timers = this.createTimers(isAlive);
    let desk: GatewayService | undefined;
    const station: Station = {
      name: this.name,
      zone: this.zone,
      identity: disk.identity,
      start,
      receive: (from, message, reply) =>
        this.whenAwake(isAlive, () => member.receive(from, message, reply)),
      onConnected: peer =>
        this.whenAwake(isAlive, () => links.connectBack(peer)),
    };
    const links = VirtualLinks.create(net, station, timers, isAlive);
    (settings.seeded?.seeds ?? [])
      .filter(seed => seed !== this.name)
      .forEach(seed => links.add(seed));
    const member = QuorumMember.create({
      settings,
      disk,
      connections: links,
      clock,
      leaseClock,
      timers,
      random,
      send: (to: string, message: Message) => links.send(to, message),
      onQuorum: () => undefined,
      onRuntime: runtime => {
        void runtime.roleChanges.observe(() => onRole(this.name, runtime));
        desk = GatewayService.create({
          settings,
          runtime,
          registry: BackendRegistry.create(),
          clock,
          signal: ChangeSignal.create(),
          events: EventRing.create(),
          identity: disk.identity,
        });
      },
      onFailure: error => {
        if (isAlive()) {
          onFailure(this.name, error);
        }
      },
      onChange: () => undefined,
    });
    return {station, links, member, desk: () => desk};
  }

  private createTimers(isAlive: () => boolean): Timers {
    const {time} = this.fleet.net;
    const after = (ms: number, act: () => void) => {
      let isOff = false;
      time.after(ms, () =>
        this.whenAwake(isAlive, () => (isOff ? undefined : act())),
      );
      return () => {
        isOff = true;
      };
    };
    return {
      delay: after,
      defer: act => void after(0, act),
      repeat(ms, act) {
        let isOff = false;
        const next = () => {
          if (!isOff) {
            act();
            after(ms, next);
          }
        };
        after(ms, next);
        return () => {
          isOff = true;
        };
      },
    };
  }

  /** A frozen process does what is due once it runs again; one that ended does nothing. */
  private whenAwake(isAlive: () => boolean, act: () => void): void {
    if (!isAlive()) {
      return;
    }
    const {time} = this.fleet.net;
    if (this.isFrozen) {
      time.after(this.frozenUntil - time.now(), () =>
        this.whenAwake(isAlive, act),
      );
      return;
    }
    act();
  }
}
