/** One machine of the soak: a real platform program at a loopback address of its own. */
import {mkdirSync, rmSync, writeFileSync} from 'node:fs';
import * as path from 'node:path';
import {ManagedProcess} from '../support/managed_process';

/** Ports are alike on all machines, as on the platform. */
interface SoakPorts {
  readonly internal: number;
  readonly control: number;
  readonly front: number;
  readonly ready: number;
}

/** What a machine is. */
interface SoakMachineOptions {
  readonly role: 'entry' | 'control';
  readonly ip: string;
  readonly ports: SoakPorts;
  /** Addresses of control machines. */
  readonly seeds: readonly string[];
  readonly folder: string;
}

const HEARTBEAT_MS = 300;

/** A program that can be killed, frozen, stopped and started again, with or without its disk. */
export class SoakMachine {
  private process: ManagedProcess | undefined;
  private isFirstStart = true;
  private readonly earlier: string[] = [];

  private constructor(readonly options: SoakMachineOptions) {}

  static create(options: SoakMachineOptions): SoakMachine {
    mkdirSync(options.folder, {recursive: true});
    return new SoakMachine(options);
  }

  /** Everything that its processes have written so far. */
  get log(): string[] {
    return [...this.earlier, ...(this.process?.lines ?? [])];
  }

  get isUp(): boolean {
    return this.process !== undefined;
  }

  async start(): Promise<void> {
    const file = path.join(this.options.folder, 'boot.toml');
    writeFileSync(file, this.formatSettings());
    this.process = await ManagedProcess.create({
      label: this.options.ip,
      script: `platform/bin/${this.options.role}.js`,
      args: [],
      env: {WHINREEL_NODE_FILE: file},
    });
    this.isFirstStart = false;
  }

  async kill(): Promise<void> {
    const process = this.takeProcess();
    await process?.kill();
  }

  async stop(): Promise<void> {
    const process = this.takeProcess();
    await process?.stop();
  }

  pause(): void {
    this.process?.pause();
  }

  resume(): void {
    this.process?.resume();
  }

  wipe(): void {
    rmSync(this.dataFolder, {recursive: true, force: true});
  }

  private takeProcess(): ManagedProcess | undefined {
    const {process} = this;
    this.process = undefined;
    this.earlier.push(...(process?.lines ?? []));
    return process;
  }

  private get dataFolder(): string {
    return path.join(this.options.folder, 'data');
  }

  private formatSettings(): string {
    const {ip, ports, seeds, role} = this.options;
    const listen =
      role === 'entry'
        ? [`front = "${ip}:${ports.front}"`, `ready = "${ip}:${ports.ready}"`]
        : [`control = "${ip}:${ports.control}"`];
    return [
      `node_name = "${ip}"`,
      `ip = "${ip}"`,
      'zone = "z"',
      `internal_ports = [${ports.internal},${ports.internal}]`,
      `seeds = [${seeds.map(seed => `"${seed}:${ports.control}"`).join(',')}]`,
      `bootstrap = ${this.isFirstStart}`,
      `data_dir = "${this.dataFolder}"`,
      `heartbeat_ms = ${HEARTBEAT_MS}`,
      '[listen]',
      ...listen,
      '[fault_tolerance]',
      'machines = 1',
      '[bounds]',
      'grace_s = 8',
      'revoke_ms = 5000',
      'budget_ratio = 0.2',
      'budget_window_s = 10',
      'budget_slack = 50',
    ].join('\n');
  }
}
