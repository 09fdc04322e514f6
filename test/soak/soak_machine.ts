/** One machine of the soak: a real platform program at a loopback address of its own. */
import {mkdirSync, writeFileSync} from 'node:fs';
import {rm} from 'node:fs/promises';
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

/** A program that can be killed, frozen, stopped and started again, with or without its disk. */
export class SoakMachine {
  private process: ManagedProcess | undefined;
  private isFirstStart = true;
  /** It was told to stop and has not ended yet. */
  private isStopping = false;
  private seeds: readonly string[];
  private readonly earlier: string[] = [];
  /** When it was killed or frozen, and until when; on the monotonic clock. */
  private readonly harms: Array<{from: number; to: number}> = [];
  /** What is done to it next begins when the last has ended. */
  private turn: Promise<void> = Promise.resolve();

  private constructor(readonly options: SoakMachineOptions) {
    this.seeds = options.seeds;
  }

  static create(options: SoakMachineOptions): SoakMachine {
    mkdirSync(options.folder, {recursive: true});
    return new SoakMachine(options);
  }

  /** Everything that its processes have written so far. */
  get log(): string[] {
    return [...this.earlier, ...(this.process?.lines ?? [])];
  }

  /** Set when its process ended though nobody ended it. */
  get unexpectedEnd(): string | undefined {
    return this.process?.hasExited && !this.isStopping
      ? `the process of ${this.options.ip} ended by itself: ${this.process.stderr}`
      : undefined;
  }

  /** Process id; undefined while it is down. */
  get pid(): number | undefined {
    return this.process?.pid;
  }

  /** True when it was killed or frozen at some moment of this time. */
  wasHarmed(from: number, to: number): boolean {
    return this.harms.some(harm => harm.from <= to && harm.to >= from);
  }

  async start(): Promise<void> {
    const {ip, role, routes, limits, metricsPort = 0} = this.options;
    const heap = limits ? [`--max-old-space-size=${limits.heapMb}`] : [];
    this.writeSettings(this.formatSettings());
    this.process = await ManagedProcess.create({
      label: ip,
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
  }

  /** Ends it for good, whatever it does. */
  async close(): Promise<void> {
    await this.takeProcess()?.kill();
  }

  /** Kills it, and starts it again after a while, with its disk or without. */
  restartKilled(downMs: number, losesDisk: boolean): Promise<void> {
    return this.harm(async () => {
      await this.takeProcess()?.kill();
      if (losesDisk) {
        // Not at once for all: callers and backend servers live in this process.
        await rm(this.dataFolder, {recursive: true, force: true});
      }
      await new Promise(resolve => setTimeout(resolve, downMs));
      await this.start();
    });
  }

  /** Freezes it for a while. */
  freeze(durationMs: number): Promise<void> {
    return this.harm(async () => {
      this.process?.pause();
      await new Promise(resolve => setTimeout(resolve, durationMs));
      this.process?.resume();
    });
  }

  /** Stops it as planned, waits for its end and starts it again. */
  restartStopped(): Promise<void> {
    return this.queue(async () => {
      this.isStopping = true;
      await this.process?.stop();
      this.takeProcess();
      this.isStopping = false;
      await this.start();
    });
  }

  /** Gives a running program other settings; a wrong file must change nothing. */
  changeSettings(seeds: readonly string[] | 'wrong'): void {
    // A program that starts reads its file by itself, and dies of a signal that it cannot take yet.
    if (!this.process) {
      return;
    }
    this.seeds = seeds === 'wrong' ? this.seeds : seeds;
    this.writeSettings(seeds === 'wrong' ? 'ip = ' : this.formatSettings());
    this.process.reload();
  }

  private harm(step: () => Promise<void>): Promise<void> {
    return this.queue(async () => {
      const harm = {from: performance.now(), to: Infinity};
      this.harms.push(harm);
      await step();
      harm.to = performance.now();
    });
  }

  private queue(step: () => Promise<void>): Promise<void> {
    const done = this.turn.then(step);
    this.turn = done.catch(() => undefined);
    return done;
  }

  private takeProcess(): ManagedProcess | undefined {
    const {process} = this;
    this.process = undefined;
    if (process) {
      void process.exited.then(() => this.earlier.push(...process.lines));
    }
    return process;
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
      `seeds = [${seeds.map(seed => `"${seed}:${ports.control}"`).join(',')}]`,
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
