/** A complete small fleet of real processes on loopback. */
import {generateKeyPairSync, KeyObject, createPrivateKey} from 'node:crypto';
import {mkdtempSync, readFileSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import * as path from 'node:path';
import {ServerAddress} from '../../src/common/server_address';
import {Bundle} from '../../src/protocol/bundle';
import {computeDigest} from '../../src/protocol/compute_digest';
import {FleetStatus} from '../../src/protocol/fleet_status';
import {signBundle} from '../../src/protocol/sign_bundle';
import {OperatorClient} from '../../src/operator/operator_client';
import {TlsCredentials} from '../../src/transport/tls_credentials';
import {EngineStandIn} from '../stand_ins/engine_stand_in';
import {ManagedProcess} from './managed_process';
import {RelayNetwork} from './relay_network';
import {reservePort} from './reserve_port';
import {waitUntil} from './wait_until';

/** Relative to the working directory, since fixtures are not copied to `build/`. */
const TLS_FIXTURES = path.resolve(process.cwd(), 'test/fixtures/tls');

/** One host process with its backend server. */
interface HostPlan {
  readonly hostId: string;
  readonly zone?: string;
  readonly domain: string;
  readonly kind: 'model' | 'service';
  readonly name: string;
  /** The caller starts the backend server, as a process of its own. */
  readonly hasOwnStandIn?: boolean;
  readonly engine?: Partial<Parameters<typeof EngineStandIn.create>[0]>;
}

/** Processes of the fleet and their settings. */
interface TestFleetOptions {
  readonly controls?: number;
  readonly entries?: number;
  readonly hosts: readonly HostPlan[];
  readonly controlArgs?: readonly string[];
  readonly entryArgs?: readonly string[];
  readonly hostArgs?: readonly string[];
  /** Every connection between processes goes through a relay that can inject faults. */
  readonly hasRelays?: boolean;
  /** All processes use mutual TLS with the keys in test/fixtures. */
  readonly isTls?: boolean;
  /** Called for each process that has started. */
  readonly onProgress?: (text: string) => void;
}

/** Starts and stops the processes of a fleet. */
export class TestFleet {
  readonly folder = mkdtempSync(path.join(tmpdir(), 'whinreel-'));
  readonly controls = new Map<string, ManagedProcess>();
  readonly entries = new Map<string, ManagedProcess>();
  readonly hosts = new Map<string, ManagedProcess>();
  readonly engines = new Map<string, EngineStandIn>();
  readonly relays = RelayNetwork.create();
  private readonly controlPorts = new Map<string, number>();
  private lastDigest = '';
  private client: OperatorClient | undefined;

  private constructor(private readonly options: TestFleetOptions) {
    const {privateKey, publicKey} = generateKeyPairSync('ed25519');
    writeFileSync(
      this.keyFile,
      privateKey.export({type: 'pkcs8', format: 'pem'}),
    );
    writeFileSync(
      this.publicKeyFile,
      publicKey.export({type: 'spki', format: 'pem'}),
    );
  }

  /** Starts every process and waits until each is up. */
  static async create(options: TestFleetOptions): Promise<TestFleet> {
    const fleet = new TestFleet(options);
    try {
      await fleet.start();
    } catch (error) {
      await fleet.close();
      throw error;
    }
    return fleet;
  }

  get keyFile(): string {
    return path.join(this.folder, 'operator.pem');
  }

  get publicKeyFile(): string {
    return path.join(this.folder, 'operator.pub.pem');
  }

  get controlAddresses(): string[] {
    return [...this.controlPorts.values()].map(port => `127.0.0.1:${port}`);
  }

  get operator(): OperatorClient {
    this.client ??= OperatorClient.create({
      addresses: this.controlAddresses.map(ServerAddress.parse),
      timeoutMs: 10_000,
      security: this.options.isTls ? readTestSecurity() : undefined,
    });
    return this.client;
  }

  /** Returns the base URL of an entry for callers. */
  getEntryUrl(entryId = 'entry-1'): string {
    return `http://127.0.0.1:${this.findEntry(entryId).ready['port']}`;
  }

  findEntry(entryId: string): ManagedProcess {
    return find(this.entries, entryId);
  }

  findHost(hostId: string): ManagedProcess {
    return find(this.hosts, hostId);
  }

  findControl(name: string): ManagedProcess {
    return find(this.controls, name);
  }

  findEngine(hostId: string): EngineStandIn {
    return find(this.engines, hostId);
  }

  readOperatorKey(): KeyObject {
    return createPrivateKey(readFileSync(this.keyFile));
  }

  /** Takes a host out of service as an operator would. */
  drain(hostId: string) {
    return this.operator.setDraining(hostId, true, this.readOperatorKey());
  }

  /** Signs a bundle as the successor of the last one and rolls it out. */
  async rollOut(bundle: Bundle) {
    const signed = signBundle(
      {...bundle, previous: this.lastDigest},
      this.readOperatorKey(),
    );
    const answer = await this.operator.rollOut(signed);
    if (answer.isAccepted) {
      this.lastDigest = computeDigest(signed.document);
    }
    return {answer, signed};
  }

  /** Waits until the status fulfils a condition. */
  waitForStatus(
    what: string,
    fits: (status: FleetStatus) => boolean,
  ): Promise<FleetStatus> {
    let last: FleetStatus | undefined;
    const describe = () => `${what}; last status ${JSON.stringify(last)}`;
    return waitUntil(describe, async () => {
      last = await this.operator.readStatus();
      return fits(last) ? last : undefined;
    });
  }

  /** Waits until exactly this many groups serve. */
  waitForServing(count: number): Promise<FleetStatus> {
    return this.waitForStatus(
      `${count} groups serve`,
      status => status.groups.filter(group => group.isServing).length === count,
    );
  }

  /** Waits until every entry reports that it is ready. */
  async waitForReady(): Promise<void> {
    for (const entryId of this.entries.keys()) {
      await waitUntil(`${entryId} is ready`, async () => {
        const response = await fetch(`${this.getEntryUrl(entryId)}/healthz`);
        return response.status === 200;
      });
    }
  }

  async startControl(name: string): Promise<void> {
    const addresses = await this.listControlAddresses(name);
    const peers = [...addresses]
      .filter(([other]) => other !== name)
      .map(([other, address]) => `${other}=${address}`)
      .join(',');
    const args = [
      ...['--name', name],
      ...['--listen', `127.0.0.1:${this.controlPorts.get(name)}`],
      ...['--data-folder', this.getDataFolder(name)],
      ...['--peers', peers],
      ...['--operator-keys', this.publicKeyFile],
      ...(this.options.controlArgs ?? []),
      ...this.listTlsArgs(),
    ];
    const script = 'src/bin/whinreel_control.js';
    this.controls.set(
      name,
      await ManagedProcess.create({label: name, script, args}),
    );
    this.options.onProgress?.(name);
  }

  /** Lists the addresses at which one process reaches each control process. */
  private async listControlAddresses(
    from: string,
  ): Promise<Map<string, string>> {
    const addresses = new Map<string, string>();
    for (const [name, port] of this.controlPorts) {
      const reached = this.options.hasRelays
        ? await this.relays.open(from, name, port)
        : port;
      addresses.set(name, `127.0.0.1:${reached}`);
    }
    return addresses;
  }

  private listTlsArgs(): string[] {
    if (!this.options.isTls) {
      return [];
    }
    return [
      ...['--tls-authority', path.join(TLS_FIXTURES, 'authority.pem')],
      ...['--tls-certificate', path.join(TLS_FIXTURES, 'process.pem')],
      ...['--tls-key', path.join(TLS_FIXTURES, 'process.key')],
    ];
  }

  private async createAdvertiseArgs(hostId: string): Promise<string[]> {
    if (!this.options.hasRelays) {
      return [];
    }
    return [
      '--advertise',
      `127.0.0.1:${await this.relays.open('*', hostId, 0)}`,
    ];
  }

  getDataFolder(name: string): string {
    return path.join(this.folder, name);
  }

  async startEntry(entryId: string): Promise<void> {
    const args = [
      ...['--entry-id', entryId],
      ...['--zone', 'zone-1'],
      ...[
        '--listen',
        `127.0.0.1:${this.entries.get(entryId)?.ready['port'] ?? 0}`,
      ],
      ...[
        '--control',
        [...(await this.listControlAddresses(entryId)).values()].join(','),
      ],
      ...(this.options.entryArgs ?? []),
      ...this.listTlsArgs(),
    ];
    const script = 'src/bin/whinreel_entry.js';
    this.entries.set(
      entryId,
      await ManagedProcess.create({label: entryId, script, args}),
    );
    this.options.onProgress?.(entryId);
  }

  async startHost(plan: HostPlan): Promise<void> {
    const {hostId} = plan;
    const announcePort = this.hosts.get(hostId)?.ready['announcePort'] ?? 0;
    const args = [
      ...['--host-id', hostId],
      ...['--zone', plan.zone ?? 'zone-1'],
      ...['--domain', plan.domain],
      ...['--listen', '127.0.0.1:0'],
      ...['--announce-listen', `127.0.0.1:${announcePort}`],
      ...[
        '--control',
        [...(await this.listControlAddresses(hostId)).values()].join(','),
      ],
      ...(await this.createAdvertiseArgs(hostId)),
      ...(this.options.hostArgs ?? []),
      ...this.listTlsArgs(),
    ];
    const script = 'src/bin/whinreel_host.js';
    const host = await ManagedProcess.create({label: hostId, script, args});
    this.hosts.set(hostId, host);
    this.relays.aim('*', hostId, Number(host.ready['port']));
    if (!this.engines.has(hostId) && !plan.hasOwnStandIn) {
      const announceTo = `127.0.0.1:${host.ready['announcePort']}`;
      const {kind, name, engine} = plan;
      this.engines.set(
        hostId,
        await EngineStandIn.create({kind, name, announceTo, ...engine}),
      );
    }
    this.options.onProgress?.(hostId);
  }

  /** Restarts a host process, while its backend server keeps running. */
  async restartHost(hostId: string): Promise<void> {
    const plan = this.options.hosts.find(host => host.hostId === hostId);
    if (plan) {
      await this.startHost(plan);
    }
  }

  /** Kills all processes, including paused ones, and deletes the data folder. */
  async close(): Promise<void> {
    this.client?.close();
    const processes = [this.entries, this.hosts, this.controls].flatMap(map => [
      ...map.values(),
    ]);
    await Promise.all(
      processes.map(async managed => {
        if (!managed.hasExited) {
          managed.resume();
          await managed.kill();
        }
      }),
    );
    this.relays.close();
    await Promise.all([...this.engines.values()].map(engine => engine.close()));
    rmSync(this.folder, {recursive: true, force: true});
  }

  private async start(): Promise<void> {
    const {controls = 3, entries = 1, hosts} = this.options;
    const names = Array.from(
      {length: controls},
      (_, at) => `control-${at + 1}`,
    );
    for (const name of names) {
      this.controlPorts.set(name, await reservePort());
    }
    await Promise.all(names.map(name => this.startControl(name)));
    await Promise.all(hosts.map(plan => this.startHost(plan)));
    const entryIds = Array.from(
      {length: entries},
      (_, at) => `entry-${at + 1}`,
    );
    await Promise.all(entryIds.map(entryId => this.startEntry(entryId)));
  }
}

function find<T>(map: ReadonlyMap<string, T>, id: string): T {
  const found = map.get(id);
  if (!found) {
    throw new Error(`there is no ${id}`);
  }
  return found;
}

function readTestSecurity(): TlsCredentials {
  const read = (name: string) =>
    readFileSync(path.join(TLS_FIXTURES, name), 'utf8');
  return {
    authority: read('authority.pem'),
    certificate: read('process.pem'),
    key: read('process.key'),
  };
}
