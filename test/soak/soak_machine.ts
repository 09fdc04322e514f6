/** One machine of the soak: a real platform program at a loopback address of its own. */
import {mkdirSync, writeFileSync} from 'node:fs';
import {rm} from 'node:fs/promises';
import * as path from 'node:path';
import {ManagedProcess} from '../support/managed_process';
import {SoakProcess} from './soak_process';

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
  /** Relay ports by the address that the program connects to. */
  readonly routes: Readonly<Record<string, number>>;
  /** How many control machines may be lost; 1 without. */
  readonly toleratedMachines?: number;
  /** What the machine has; the settings file does not tell without. */
  readonly limits?: SoakLimits;
  /** Without, no metrics are served. */
  readonly metricsPort?: number;
}

/** What one machine has. */
interface SoakLimits {
  readonly memoryMb: number;
  /** Enforced by the kernel, too. */
  readonly maxFds: number;
  /** For the heap of V8, of the memory. */
  readonly heapMb: number;
}

const HEARTBEAT_MS = 300;
/** How long a planned stop may take, in seconds. */
const GRACE_S = 8;

/** A program with its settings and its disk. */
export class SoakMachine extends SoakProcess {
  private isFirstStart = true;
  /** Whole addresses, or what stands in their place. */
  private seeds: readonly string[];
  private replacedSettings: string | undefined;

  private constructor(readonly options: SoakMachineOptions) {
    super();
    this.seeds = this.formatSeeds(options.seeds);
  }

  static create(options: SoakMachineOptions): SoakMachine {
    mkdirSync(options.folder, {recursive: true});
    return new SoakMachine(options);
  }

  override get label(): string {
    return this.options.ip;
  }

  /** Gives a running program other settings; a wrong file must change nothing. */
  changeSettings(seeds: readonly string[] | 'wrong'): void {
    // A program that starts reads its file by itself, and dies of a signal that it cannot take yet.
    if (!this.running) {
      return;
    }
    this.seeds = seeds === 'wrong' ? this.seeds : this.formatSeeds(seeds);
    this.writeSettings(seeds === 'wrong' ? 'ip = ' : this.formatSettings());
    this.running.reload();
  }

  /** Each start from now on reads this text instead of the machine's own settings; undefined for these again. */
  replaceSettings(text: string | undefined): void {
    this.replacedSettings = text;
  }

  /** Seeds of its first settings file. */
  get soundSeeds(): string[] {
    return this.formatSeeds(this.options.seeds);
  }

  /** Writes any texts as seeds for this and later starts; a running program is told, or finds out by itself. */
  writeSeeds(texts: readonly string[], isTold = true): void {
    this.seeds = texts;
    this.writeSettings(this.formatSettings());
    if (isTold) {
      this.running?.reload();
    }
  }

  /** Process id; undefined while it is down. */
  get pid(): number | undefined {
    return this.running?.pid;
  }

  protected override async launch(): Promise<ManagedProcess> {
    const {role, routes, limits, metricsPort = 0} = this.options;
    const heap = limits ? [`--max-old-space-size=${limits.heapMb}`] : [];
    this.writeSettings(this.replacedSettings ?? this.formatSettings());
    const started = await ManagedProcess.create({
      label: this.label,
      script: `platform/bin/${role}.js`,
      args: [],
      maxFds: limits?.maxFds,
      env: {
        WHINREEL_NODE_FILE: this.settingsFile,
        WHINREEL_METRICS_PORT: String(metricsPort),
        NODE_OPTIONS: [...heap, '--require', findReroute()].join(' '),
        SOAK_ROUTES: JSON.stringify(routes),
      },
    });
    this.isFirstStart = false;
    return started;
  }

  /** Not at once for all: callers and backend servers live in this process. */
  protected override async deleteData(): Promise<void> {
    await rm(this.dataFolder, {recursive: true, force: true});
  }

  private get settingsFile(): string {
    return path.join(this.options.folder, 'boot.toml');
  }

  private get dataFolder(): string {
    return path.join(this.options.folder, 'data');
  }

  private writeSettings(text: string): void {
    writeFileSync(this.settingsFile, text);
  }

  private formatSeeds(ips: readonly string[]): string[] {
    return ips.map(ip => `${ip}:${this.options.ports.control}`);
  }

  private formatSettings(): string {
    const {seeds} = this;
    const {ip, ports, role, limits, toleratedMachines = 1} = this.options;
    const listen =
      role === 'entry'
        ? [`front = "${ip}:${ports.front}"`, `ready = "${ip}:${ports.ready}"`]
        : [`control = "${ip}:${ports.control}"`];
    return [
      `node_name = "${ip}"`,
      `ip = "${ip}"`,
      'zone = "z"',
      `internal_ports = [${ports.internal},${ports.internal}]`,
      `seeds = ${JSON.stringify(seeds)}`,
      `bootstrap = ${this.isFirstStart}`,
      `data_dir = "${this.dataFolder}"`,
      `heartbeat_ms = ${HEARTBEAT_MS}`,
      '[listen]',
      ...listen,
      ...(limits
        ? [
            '[limits]',
            `memory_mb = ${limits.memoryMb}`,
            `max_fds = ${limits.maxFds}`,
          ]
        : []),
      '[fault_tolerance]',
      `machines = ${toleratedMachines}`,
      '[bounds]',
      `grace_s = ${GRACE_S}`,
      'revoke_ms = 5000',
      'budget_ratio = 0.2',
      'budget_window_s = 10',
      'budget_slack = 50',
    ].join('\n');
  }
}

/** This file runs compiled below `build/`, or as it is under the test runner. */
function findReroute(): string {
  const root = path.resolve(__dirname, '../..');
  const build =
    path.basename(root) === 'build' ? root : path.join(root, 'build');
  return path.join(build, 'test/soak/reroute.js');
}
