/** The programs of a crowd test: one control process, one entry and one backend server. */
import {mkdtempSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import * as path from 'node:path';
import {sendCall} from '../soak/send_call';
import {SoakMachine} from '../soak/soak_machine';
import {SoakReply} from '../soak/soak_reply';
import {reservePort} from '../support/reserve_port';
import {waitUntil} from '../support/wait_until';
import {CROWD_LIMITS} from './crowd_limits';
import {CrowdBackend} from './crowd_backend';

const CONTROL_IP = '127.2.1.1';
const ENTRY_IP = '127.2.1.11';
/** Only how often it is asked; a program that still answers is asked for as long as it takes. */
const TRY_MS = 5_000;
const ANSWERED_WITHIN_MS = 40_000;
/** Without a further answer. */
const SETTLED_MS = 2_000;
const OK = 200;
const ROUTES = [
  {name: 'a', path_prefix: '/a/', route_type: 'unsafe'},
  {name: 'g', path_prefix: '/g/', route_type: 'safe'},
];

interface CrowdPorts {
  readonly internal: number;
  readonly control: number;
  readonly front: number;
  readonly ready: number;
}

/** Starts the programs with the limits of these tests, and makes ordinary calls. */
export class CrowdFleet {
  private backend: CrowdBackend | undefined;
  private calls = 0;
  private version = 0;

  private constructor(
    readonly control: SoakMachine,
    readonly entry: SoakMachine,
    private readonly folder: string,
  ) {}

  /**
   * Resolves when an ordinary request is answered.
   *
   * @throws Error when none is answered before there is any crowd
   */
  static async create(): Promise<CrowdFleet> {
    const folder = mkdtempSync(path.join(tmpdir(), 'whinreel-crowd-'));
    const [internal, control, front, ready, metricsPort] = await Promise.all(
      [1, 2, 3, 4, 5].map(() => reservePort()),
    );
    const ports: CrowdPorts = {internal, control, front, ready};
    const createMachine = (role: 'entry' | 'control', ip: string) =>
      SoakMachine.create({
        role,
        ip,
        ports,
        metricsPort,
        seeds: [CONTROL_IP],
        folder: path.join(folder, ip),
        routes: {},
        toleratedMachines: 0,
        limits: CROWD_LIMITS,
      });
    const fleet = new CrowdFleet(
      createMachine('control', CONTROL_IP),
      createMachine('entry', ENTRY_IP),
      folder,
    );
    await fleet.start();
    return fleet;
  }

  /** Resolves when the backend server has sent no whole answer for a while. */
  async waitUntilSettled(): Promise<void> {
    let seen = -1;
    while (seen !== this.backend?.answered) {
      seen = this.backend?.answered ?? 0;
      await new Promise(resolve => setTimeout(resolve, SETTLED_MS));
    }
  }

  /** Resolves to true once one ordinary request is answered. */
  async isServing(): Promise<boolean> {
    return this.isAnswered(this.entry, () => this.callEntry());
  }

  /** Resolves to true once the newest configuration is taken and read back. */
  async isOperable(): Promise<boolean> {
    return this.isAnswered(this.control, () => this.configure());
  }

  /** Resolves to true once the readiness address says so. */
  async isReady(): Promise<boolean> {
    return this.isAnswered(this.entry, () =>
      this.get(ENTRY_IP, this.entry.options.ports.ready, '/v1/ready'),
    );
  }

  /** Resolves to true once the metrics of the entry are read. */
  async isMeasured(): Promise<boolean> {
    const port = this.entry.options.metricsPort ?? 0;
    return this.isAnswered(this.entry, () =>
      this.get(ENTRY_IP, port, '/metrics'),
    );
  }

  async close(): Promise<void> {
    this.backend?.close();
    await Promise.all([this.entry.close(), this.control.close()]);
    rmSync(this.folder, {recursive: true, force: true});
  }

  private async start(): Promise<void> {
    await this.control.start();
    await this.entry.start();
    const {control} = this.control.options.ports;
    this.backend = await CrowdBackend.create(`${CONTROL_IP}:${control}`);
    if (!(await this.isOperable()) || !(await this.isServing())) {
      throw new Error('the programs serve nobody');
    }
  }

  private async isAnswered(
    machine: SoakMachine,
    call: () => Promise<SoakReply>,
  ): Promise<boolean> {
    let isOk = false;
    const attempt = async () => {
      const {status, isWhole} = await call();
      isOk = status === OK && isWhole;
      return isOk || machine.unexpectedEnd !== undefined;
    };
    await waitUntil('an answer', attempt, ANSWERED_WITHIN_MS).catch(
      () => undefined,
    );
    return isOk;
  }

  private callEntry(): Promise<SoakReply> {
    const {ip, ports} = this.entry.options;
    this.calls += 1;
    return sendCall({
      url: `http://${ip}:${ports.front}/a/`,
      method: 'POST',
      headers: {
        host: 'h.example',
        'x-whinreel-request-id': `ordinary${this.calls}`,
      },
      body: 'x'.repeat(1_000),
      patienceMs: TRY_MS,
    });
  }

  private get(ip: string, port: number, url: string): Promise<SoakReply> {
    const address = `http://${ip}:${port}${url}`;
    return sendCall({url: address, method: 'GET', patienceMs: TRY_MS});
  }

  private configure(): Promise<SoakReply> {
    const {ip, ports} = this.control.options;
    this.version += 1;
    return sendCall({
      url: `http://${ip}:${ports.control}/v1/config`,
      method: 'PUT',
      body: formatConfiguration(this.version),
      patienceMs: TRY_MS,
    });
  }
}

function formatConfiguration(version: number): string {
  return JSON.stringify({
    version,
    routes: ROUTES.map(route => ({
      ...route,
      host: 'h.example',
      timeout_ms: 5_000,
      max_attempts: 1,
      target_latency_ms: 300,
      service: 'p',
      allow_anonymous: true,
    })),
    services: [{name: 'p', max_connections: 100}],
    limits: {
      max_header_bytes: 16_384,
      max_body_bytes: CROWD_LIMITS.maxBodyBytes,
      header_timeout_ms: 3_000,
      idle_timeout_ms: 15_000,
    },
  });
}
