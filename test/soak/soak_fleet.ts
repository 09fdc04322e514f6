/** The programs, backend servers and links of one run. */
import {mkdtempSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import * as path from 'node:path';
import {RelayNetwork} from '../support/relay_network';
import {reservePort} from '../support/reserve_port';
import {createRandom} from './create_random';
import {EndlessResponses} from './endless_responses';
import {LateCopies} from './late_copies';
import {SoakBackend} from './soak_backend';
import {SoakMachine} from './soak_machine';
import {SoakSignals} from './soak_signals';
import {SoakWork} from './soak_work';

/** One more than twice the one machine that may be lost. */
const CONTROLS = 3;
const ENTRIES = 3;
const BACKENDS = 3;
/** Runs beside each other use addresses of their own, as far as there are. */
const BLOCKS = 200;
const SIGNAL_SEEDS = 1_000_000;
const COPY_SEEDS = 2_000_000;
const ENDLESS_SEEDS = 3_000_000;
/** Stands for all entries at a link to a backend server. */
const ENTRY_SIDE = 'entries';

/** How many there are beside the control processes. */
interface SoakFleetOptions {
  readonly entries?: number;
  /** Within this process; 0 where a run brings its own. */
  readonly backends?: number;
  /** What each machine has. */
  readonly limits?: SoakMachine['options']['limits'];
}

/** Three control processes, and by default three entries and three backend servers, with a relay on each link. */
export class SoakFleet {
  readonly controls: SoakMachine[] = [];
  readonly entries: SoakMachine[] = [];
  readonly backends: SoakBackend[] = [];
  readonly signals: SoakSignals[] = [];
  /** What backend servers did, by request key. */
  readonly work = new Map<string, SoakWork>();
  readonly relays = RelayNetwork.create();
  private readonly folder = mkdtempSync(path.join(tmpdir(), 'whinreel-soak-'));
  private readonly random: () => number;

  private constructor(
    private readonly seed: number,
    private readonly size: Required<Omit<SoakFleetOptions, 'limits'>> &
      Pick<SoakFleetOptions, 'limits'>,
  ) {
    this.random = createRandom(seed);
  }

  static async create(
    seed: number,
    {entries = ENTRIES, backends = BACKENDS, limits}: SoakFleetOptions = {},
  ): Promise<SoakFleet> {
    const fleet = new SoakFleet(seed, {entries, backends, limits});
    const [internal, control, front, ready] = await Promise.all(
      [1, 2, 3, 4].map(() => reservePort()),
    );
    await fleet.addMachines({internal, control, front, ready});
    return fleet;
  }

  /** Addresses of control machines. */
  static listSeeds(seed: number): string[] {
    return Array.from({length: CONTROLS}, (_, at) => formatIp(seed, at + 1));
  }

  get machines(): SoakMachine[] {
    return [...this.controls, ...this.entries];
  }

  /** Names of the backend servers, as links have them. */
  get backendNames(): string[] {
    return this.backends.map((_, at) => `i${at}`);
  }

  /** The relay before one backend server. */
  findBackendLink(name: string) {
    return this.relays.select(ENTRY_SIDE, name)[0];
  }

  async start(): Promise<void> {
    await Promise.all(this.machines.map(machine => machine.start()));
    for (let at = 0; at < this.size.backends; at += 1) {
      const name = `i${at}`;
      const backend = await SoakBackend.create({
        incarnation: name,
        work: this.work,
        control: () => this.choose(this.controls, 'control'),
        random: this.random,
        signals: this.createSignals(name, at),
        copies: LateCopies.create(createRandom(this.seed + COPY_SEEDS + at)),
        endless: EndlessResponses.create({
          name,
          random: createRandom(this.seed + ENDLESS_SEEDS + at),
        }),
      });
      const {port} = backend;
      backend.toldPort = await this.relays.open(ENTRY_SIDE, name, port);
      this.backends.push(backend);
    }
  }

  /** The address of some machine. */
  choose(machines: readonly SoakMachine[], port: 'control' | 'front'): string {
    const at = Math.floor(this.random() * machines.length);
    const {ip, ports} = machines[at].options;
    return `${ip}:${ports[port]}`;
  }

  async close(): Promise<void> {
    this.backends.forEach(backend => backend.close());
    await Promise.all(this.machines.map(machine => machine.close()));
    this.relays.close();
    rmSync(this.folder, {recursive: true, force: true});
  }

  /** Drawn apart, so that what else a seed draws stays as it is. */
  private createSignals(name: string, at: number): SoakSignals {
    const random = createRandom(this.seed + SIGNAL_SEEDS + at);
    // The last one always takes what the others do not.
    const isEverLimited = at < this.size.backends - 1;
    const signals = SoakSignals.create({name, random, isEverLimited});
    this.signals.push(signals);
    return signals;
  }

  private async addMachines(
    ports: SoakMachine['options']['ports'],
  ): Promise<void> {
    const seeds = SoakFleet.listSeeds(this.seed);
    const create = async (role: 'entry' | 'control', ip: string) => {
      const routes: Record<string, number> = {};
      for (const seed of seeds.filter(other => other !== ip)) {
        const {internal} = ports;
        const port = await this.relays.open(ip, seed, internal, seed);
        routes[`${seed}:${internal}`] = port;
      }
      const folder = path.join(this.folder, ip);
      const {limits} = this.size;
      return SoakMachine.create({
        ...{role, ip, ports, seeds, folder, routes, limits},
      });
    };
    for (const ip of seeds) {
      this.controls.push(await create('control', ip));
    }
    for (let at = 0; at < this.size.entries; at += 1) {
      const ip = formatIp(this.seed, at + 11);
      this.entries.push(await create('entry', ip));
    }
  }
}

function formatIp(seed: number, at: number): string {
  return `127.1.${1 + (seed % BLOCKS)}.${at}`;
}
