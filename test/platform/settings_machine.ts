/** A platform program at a loopback address of its own, whose settings file a test writes. */
import {mkdirSync, writeFileSync} from 'node:fs';
import * as path from 'node:path';
import {stringify} from 'smol-toml';
import {ManagedProcess} from '../support/managed_process';

/** Ports are alike on all machines, as on the platform. */
interface MachinePorts {
  readonly internal: number;
  readonly control: number;
  readonly front: number;
  readonly ready: number;
}

interface MachineOptions {
  readonly role: 'entry' | 'control';
  readonly ip: string;
  readonly ports: MachinePorts;
  readonly folder: string;
  /** Addresses of the control machines. */
  readonly seeds: readonly string[];
}

/** One machine with its settings file and its disk. */
export class SettingsMachine {
  private process: ManagedProcess | undefined;

  private constructor(readonly options: MachineOptions) {}

  /** Creates a machine whose program does not run yet. */
  static create(options: MachineOptions): SettingsMachine {
    mkdirSync(options.folder, {recursive: true});
    return new SettingsMachine(options);
  }

  /** Sound settings. */
  describeSettings(isFirstStart: boolean): Record<string, unknown> {
    const {ip, ports, folder, seeds} = this.options;
    return {
      node_name: ip,
      ip,
      zone: 'z',
      internal_ports: [ports.internal, ports.internal],
      seeds: seeds.map(seed => `${seed}:${ports.control}`),
      bootstrap: isFirstStart,
      data_dir: path.join(folder, 'data'),
      heartbeat_ms: 300,
      zones: {z: 'r'},
      listen: {
        front: `${ip}:${ports.front}`,
        ready: `${ip}:${ports.ready}`,
        control: `${ip}:${ports.control}`,
      },
      fault_tolerance: {machines: 1},
      bounds: {grace_s: 8},
    };
  }

  writeSettings(settings: object): void {
    writeFileSync(this.file, stringify(settings));
  }

  /** Starts the program, which must get as far as its ready line. */
  async start(): Promise<void> {
    this.process = await ManagedProcess.create({
      label: this.options.ip,
      script: `platform/bin/${this.options.role}.js`,
      args: [],
      env: {WHINREEL_NODE_FILE: this.file, WHINREEL_METRICS_PORT: 'odd'},
    });
  }

  /** Makes the program read its file again. */
  reload(): void {
    this.process?.reload();
  }

  async kill(): Promise<void> {
    await this.process?.kill();
    this.process = undefined;
  }

  get hasExited(): boolean {
    return this.process?.hasExited ?? true;
  }

  /** Reasons of the events of one type in the current life of the program. */
  listReasons(type: string): string[] {
    return (this.process?.lines ?? [])
      .filter(line => line.startsWith('{"time"'))
      .map(line => JSON.parse(line) as {event: string; reason: string})
      .filter(({event}) => event === type)
      .map(({reason}) => reason);
  }

  private get file(): string {
    return path.join(this.options.folder, 'boot.toml');
  }
}
