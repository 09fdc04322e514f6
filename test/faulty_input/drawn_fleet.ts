/** The programs of a run of drawn inputs; one that ends by itself is noted and started again. */
import {readFileSync} from 'node:fs';
import {sendCall} from '../soak/send_call';
import {SoakFleet} from '../soak/soak_fleet';
import {SoakMachine} from '../soak/soak_machine';
import {BrokenPromises} from './broken_promises';
import {soundSettings} from './sound_settings';

const GATEWAYS = 2;
/** As in the deploy file of the platform. */
const LIMITS = {memoryMb: 350, maxFds: 4_100, heapMb: 160};
const WATCH_MS = 50;
const READY_WITHIN_MS = 10_000;
/** How long a leader, a gateway or the way between them may be missing after a machine came back. */
const RECOVERY_MS = 4_000;
const KB_PER_MB = 1_024;
const FAILURE = /"event":"process-failed".*/;

/** When a machine was down on purpose, or after it had ended by itself. */
interface Disturbance {
  /** Steps that are under way or wait. */
  count: number;
  endedAt: number;
  last: Promise<unknown>;
}

/** Three control processes and two gateways. */
export class DrawnFleet {
  private readonly disturbances = new Map<SoakMachine, Disturbance>();
  private readonly timer: NodeJS.Timeout;
  private turn = 0;

  private constructor(
    private readonly fleet: SoakFleet,
    private readonly broken: BrokenPromises,
  ) {
    this.timer = setInterval(() => this.restartEnded(), WATCH_MS);
  }

  static async create(
    seed: number,
    broken: BrokenPromises,
  ): Promise<DrawnFleet> {
    const fleet = await SoakFleet.create(seed, {
      entries: GATEWAYS,
      backends: 0,
      limits: LIMITS,
    });
    const {fields} = soundSettings;
    const setBootstrap = (bootstrap: boolean) =>
      fleet.machines.forEach(machine =>
        machine.replaceSettings(
          soundSettings.format(machine, {...fields, bootstrap}),
        ),
      );
    setBootstrap(true);
    await fleet.start();
    setBootstrap(false);
    return new DrawnFleet(fleet, broken);
  }

  get machines(): SoakMachine[] {
    return this.fleet.machines;
  }

  get gateways(): readonly SoakMachine[] {
    return this.fleet.entries;
  }

  get controls(): readonly SoakMachine[] {
    return this.fleet.controls;
  }

  /** Addresses at which the system's own processes reach control. */
  get internalAddresses(): string[] {
    return this.controls.map(
      ({options: {ip, ports}}) => `${ip}:${ports.internal}`,
    );
  }

  /** The control processes in turn, without those that are down. */
  chooseControl(): SoakMachine {
    const up = this.controls.filter(({pid}) => pid !== undefined);
    const from = up.length > 0 ? up : this.controls;
    this.turn += 1;
    return from[this.turn % from.length];
  }

  /** The gateways in turn, without those that are down; waits while all are. */
  async findGateway(): Promise<SoakMachine> {
    const until = performance.now() + READY_WITHIN_MS;
    const isUp = (gateway: SoakMachine) =>
      !this.wasDisturbed([gateway], Infinity);
    while (!this.gateways.some(isUp) && performance.now() < until) {
      await new Promise(resolve => setTimeout(resolve, WATCH_MS));
    }
    const up = this.gateways.filter(isUp);
    const from = up.length > 0 ? up : this.gateways;
    this.turn += 1;
    return from[this.turn % from.length];
  }

  /** Does something to a machine that its callers may notice, after what is under way there. */
  disturb(machine: SoakMachine, step: () => Promise<unknown>): Promise<void> {
    const known = this.disturbances.get(machine) ?? {
      count: 0,
      endedAt: 0,
      last: Promise.resolve(),
    };
    this.disturbances.set(machine, known);
    known.count += 1;
    const done = known.last.then(async () => {
      try {
        await step();
        await this.waitUntilReady(machine);
      } finally {
        known.count -= 1;
        known.endedAt = performance.now();
      }
    });
    known.last = done.catch(() => undefined);
    return done;
  }

  /** True if one of the machines was down at some moment since then. */
  wasDisturbed(machines: readonly SoakMachine[], since: number): boolean {
    return machines.some(machine => {
      const {count, endedAt} = this.disturbances.get(machine) ?? {
        count: 0,
        endedAt: -Infinity,
      };
      const hasEnded = machine.unexpectedEnd !== undefined;
      return hasEnded || count > 0 || endedAt >= since;
    });
  }

  /** True while an election, or gateways that look for the leader, may explain a failure. */
  isRecovering(since: number): boolean {
    const from = since - RECOVERY_MS;
    return this.wasDisturbed(this.machines, from) || this.hasElected(from);
  }

  /** True if control has another leader since: on a busy machine a late answer of the quorum ends a leader, too. */
  private hasElected(since: number): boolean {
    const sinceMs = Date.now() - (performance.now() - since);
    const elections = this.machines
      .flatMap(({log}) => log)
      .filter(line => line.includes('"event":"became-leader"'));
    return elections.some(
      line => Date.parse((JSON.parse(line) as {time: string}).time) > sinceMs,
    );
  }

  /** Resident memory of each process in megabytes, by its label. */
  readMemoryMb(): Record<string, number> {
    const entries = this.machines.map(({label, pid}) => {
      const status = pid ? readFileSync(`/proc/${pid}/status`, 'utf8') : '';
      const kb = Number(/^VmRSS:\s+(\d+) kB$/m.exec(status)?.[1] ?? 0);
      return [label, Math.round(kb / KB_PER_MB)];
    });
    return Object.fromEntries(entries);
  }

  async close(): Promise<void> {
    clearInterval(this.timer);
    await this.fleet.close();
  }

  private restartEnded(): void {
    for (const machine of this.machines) {
      const {unexpectedEnd} = machine;
      const isHandled = this.disturbances.get(machine)?.count;
      if (unexpectedEnd !== undefined && !isHandled) {
        const line = machine.log.filter(each => FAILURE.test(each)).at(-1);
        const what = line ?? unexpectedEnd;
        const {role} = machine.options;
        this.broken.record(
          `a ${role} ended by itself: ${findCause(what)}`,
          what,
        );
        void this.disturb(machine, async () => {
          if (machine.unexpectedEnd !== undefined) {
            await machine.close();
            await machine.start();
          }
        }).catch((error: Error) =>
          this.broken.record(`a ${role} does not start again`, error.message),
        );
      }
    }
  }

  private async waitUntilReady({options}: SoakMachine): Promise<void> {
    const {role, ip, ports} = options;
    const until = performance.now() + READY_WITHIN_MS;
    while (role === 'entry' && performance.now() < until) {
      const url = `http://${ip}:${ports.ready}/v1/ready`;
      const {status} = await sendCall({url, method: 'GET', patienceMs: 500});
      if (status === 200) {
        return;
      }
      await new Promise(resolve => setTimeout(resolve, WATCH_MS));
    }
  }
}

/** The message and the innermost frames, which are the same whenever the cause is. */
function findCause(line: string): string {
  try {
    const {reason, stack} = JSON.parse(line) as Record<string, string>;
    const frames = stack.split('\n').filter(each => /^\s+at /.test(each));
    const own = frames.filter(each => /\/(src|platform)\//.test(each));
    return [reason.slice(0, 80), ...(own.length ? own : frames).slice(0, 2)]
      .join(' ')
      .replace(/\s+/g, ' ');
  } catch {
    return line.slice(-200);
  }
}
