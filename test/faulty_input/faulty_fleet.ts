/** The real programs of a run whose input is faulty: three control processes and some gateways. */
import {sendCall} from '../soak/send_call';
import {SoakFleet} from '../soak/soak_fleet';
import {SoakMachine} from '../soak/soak_machine';
import {SoakReply} from '../soak/soak_reply';
import {waitUntil} from '../support/wait_until';

const OK = 200;
const DOWN_MS = 300;
/** Above the time of an election, on a busy machine, too. */
const SERVING_WITHIN_MS = 15_000;
/** Above every timeout of a route. */
const PATIENCE_MS = 6_000;
/** Control answers sooner; another process is asked after this long. */
const CONTROL_PATIENCE_MS = 1_000;
const SERVICES = ['sound', 'malformed', 'mixed'] as const;
const KINDS = ['safe', 'unsafe', 'stream'] as const;

/** Where a request goes. */
interface FaultyCall {
  readonly service: (typeof SERVICES)[number];
  readonly kind: (typeof KINDS)[number];
  readonly headers?: Record<string, string>;
}

/** A tenant of a configuration, as the operator sends it. */
interface FaultyTenant {
  readonly name: string;
  readonly api_keys: readonly string[];
}

/** What was done to a machine, until it served again; on the monotonic clock. */
interface Harm {
  readonly machine: SoakMachine;
  readonly from: number;
  to: number;
}

/** Starts the programs, configures them, and notes which of them end by themselves. */
export class FaultyFleet {
  /** All combinations of a service and a kind of request. */
  static readonly calls: readonly FaultyCall[] = SERVICES.flatMap(service =>
    KINDS.map(kind => ({service, kind})),
  );

  private readonly seenEnds = new Set<string>();
  private readonly harms: Harm[] = [];
  private version = 0;
  private acknowledged = 0;
  private sent = 0;

  private constructor(private readonly fleet: SoakFleet) {}

  /** Resolves when a first configuration is in force. */
  static async create(seed: number, entries = 2): Promise<FaultyFleet> {
    const soak = await SoakFleet.create(seed, {entries, backends: 0});
    const fleet = new FaultyFleet(soak);
    await soak.start();
    await waitUntil('a first configuration', async () => {
      const {status} = await fleet.configure();
      return status === OK;
    });
    return fleet;
  }

  get controls(): readonly SoakMachine[] {
    return this.fleet.controls;
  }

  get entries(): readonly SoakMachine[] {
    return this.fleet.entries;
  }

  get machines(): readonly SoakMachine[] {
    return this.fleet.machines;
  }

  /** A sentence for each process that ended though nobody ended it. */
  get ends(): readonly string[] {
    this.recordEnds();
    return [...this.seenEnds];
  }

  /** Where the next call to control goes. */
  chooseControl(): string {
    return this.fleet.choose(this.controls, 'control');
  }

  /** Sends a configuration that is newer than all before it. */
  async configure(tenants?: readonly FaultyTenant[]): Promise<SoakReply> {
    this.version += 1;
    const {version} = this;
    const reply = await sendCall({
      url: `http://${this.chooseControl()}/v1/config`,
      method: 'PUT',
      body: formatConfiguration(version, tenants),
      patienceMs: CONTROL_PATIENCE_MS,
    });
    if (reply.status === OK) {
      this.acknowledged = version;
    }
    return reply;
  }

  /** Sends one request of a caller to a gateway. */
  call(entry: SoakMachine, call: FaultyCall): Promise<SoakReply> {
    const {service, kind, headers} = call;
    const {ip, ports} = entry.options;
    this.sent += 1;
    return sendCall({
      url: `http://${ip}:${ports.front}/${service}/${kind}/`,
      method: 'POST',
      headers: {
        host: 'h.example',
        'x-whinreel-request-id': `q${this.sent}`,
        ...headers,
      },
      body: 'order',
      patienceMs: PATIENCE_MS,
    });
  }

  /** Status of the readiness address of a gateway; 0 without an answer. */
  async readReadiness({options: {ip, ports}}: SoakMachine): Promise<number> {
    const url = `http://${ip}:${ports.ready}/v1/ready`;
    const patienceMs = CONTROL_PATIENCE_MS;
    const {status} = await sendCall({url, method: 'GET', patienceMs});
    return status;
  }

  /** True when a gateway is ready, or the newest configuration is read back at a control process. */
  async isServing(machine: SoakMachine): Promise<boolean> {
    const {role, ip, ports} = machine.options;
    if (role === 'entry') {
      return (await this.readReadiness(machine)) === OK;
    }
    const url = `http://${ip}:${ports.control}/v1/config`;
    const patienceMs = CONTROL_PATIENCE_MS;
    const {status, body} = await sendCall({url, method: 'GET', patienceMs});
    const {version} = JSON.parse(body || '{}') as {version?: number};
    return status === OK && version === this.acknowledged;
  }

  /** Kills one machine, starts it again and waits until it serves. */
  async restart(machine: SoakMachine): Promise<void> {
    const harm = {machine, from: performance.now(), to: Infinity};
    this.harms.push(harm);
    await this.restartKilled(machine);
    await this.waitUntilServing(machine);
    harm.to = performance.now();
  }

  /**
   * Kills one machine and starts it again.
   *
   * @throws Error when the program ends by itself while it starts
   */
  async restartKilled(machine: SoakMachine): Promise<void> {
    this.recordEnds();
    await machine.restartKilled(DOWN_MS);
  }

  async waitUntilServing(machine: SoakMachine): Promise<void> {
    const what = `${machine.label} to serve`;
    await waitUntil(what, () => this.isServing(machine), SERVING_WITHIN_MS);
  }

  /** True when a machine was down or did not serve yet at some moment of this time. */
  wasHarmed(machine: SoakMachine, {sentAt, endedAt}: SoakReply): boolean {
    return this.harms.some(
      harm =>
        harm.machine === machine && harm.from <= endedAt && harm.to >= sentAt,
    );
  }

  close(): Promise<void> {
    return this.fleet.close();
  }

  private recordEnds(): void {
    for (const {unexpectedEnd} of this.machines) {
      if (unexpectedEnd !== undefined) {
        this.seenEnds.add(unexpectedEnd);
      }
    }
  }
}

function formatConfiguration(
  version: number,
  tenants?: readonly FaultyTenant[],
): string {
  return JSON.stringify({
    version,
    routes: FaultyFleet.calls.map(({service, kind}) => ({
      name: `${service} ${kind}`,
      host: 'h.example',
      path_prefix: `/${service}/${kind}/`,
      route_type: kind,
      timeout_ms: 4_000,
      max_attempts: 2,
      target_latency_ms: 1_000,
      service,
      allow_anonymous: tenants === undefined,
    })),
    services: SERVICES.map(name => ({name, max_connections: 50})),
    tenants,
    limits: {
      max_header_bytes: 16_384,
      max_body_bytes: 65_536,
      header_timeout_ms: 3_000,
      idle_timeout_ms: 15_000,
    },
  });
}
