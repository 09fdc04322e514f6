/** Runs one control server, several gateways and fake backend servers in this process. */
import {mkdtempSync} from 'node:fs';
import * as http from 'node:http';
import {tmpdir} from 'node:os';
import * as path from 'node:path';
import {ServerAddress} from '../../src/common/server_address';
import {ControlServer} from '../../src/control/control_server';
import {GatewayServer} from '../../src/gateway/gateway_server';
import {ControlClient} from '../../src/protocol/control_client';
import {GatewayRules} from '../../src/protocol/gateway_rules';
import {RestartingBackends} from './restarting_backends';
import {FakeBackend} from './fake_backend';
import {plainDialect} from './plain_dialect';
import {reservePort} from './reserve_port';
import {waitUntil} from './wait_until';

const CHANNEL = 'operators';
const CALL_TIMEOUT_MS = 10_000;
const REGISTER_EVERY_MS = 300;
const POOL = 'p';

/** Sizes and settings of a fleet. */
interface GatewayFleetOptions {
  readonly gateways: number;
  /** How long a gateway may take to stop, in milliseconds. */
  readonly stopWithinMs: number;
  /** Time within which a change of rules is in force at every gateway, in milliseconds. */
  readonly changesWithinMs?: number;
  readonly route: Partial<GatewayRules['routes'][number]>;
  readonly handle: Parameters<typeof FakeBackend.create>[0];
  /** Backend servers that replace the single one that never crashes; `handle` is ignored then. */
  readonly restartingBackends?: RestartingBackends;
  /** Zone of a backend server, by its incarnation; the zone `z` of the gateways by default. */
  readonly findZone?: (incarnation: string) => string;
  /** How long a gateway serves by a confirmation, in milliseconds. */
  readonly confirmationMs?: number;
  /** Requests per second that a cold backend server accepts. */
  readonly coldRequestsPerSecond?: number;
  /** Connection limit of the backend server, which the gateways share among themselves and one more. */
  readonly maxConnections?: number;
  /** Limits of callers that differ from the usual ones. */
  readonly limits?: Partial<GatewayRules['limits']>;
}

/** The result of one request as its caller saw it. */
interface CallerView {
  /** 0 when there was no response. */
  readonly status: number;
  readonly headers: http.IncomingHttpHeaders;
  readonly body: string;
  /** True when the response was complete. */
  readonly isWhole: boolean;
  /** True when the connection was refused, or reset before a response. */
  readonly isUnread: boolean;
}

/** Starts, uses and stops such a fleet. */
export class GatewayFleet {
  private timer: NodeJS.Timeout | undefined;
  /** Kept here because a stopped gateway no longer has a port. */
  readonly ports: readonly number[];

  private constructor(
    private readonly control: ControlServer,
    private readonly client: ControlClient,
    readonly gateways: readonly GatewayServer[],
    readonly backend: FakeBackend,
    private readonly restartingBackends: RestartingBackends | undefined,
    private readonly findZone: (incarnation: string) => string = () => 'z',
  ) {
    this.ports = gateways.map(({port}) => port);
  }

  static async create(options: GatewayFleetOptions): Promise<GatewayFleet> {
    const address = `127.0.0.1:${await reservePort()}`;
    const [host, port] = address.split(':');
    const control = await ControlServer.create({
      name: address,
      host,
      port: Number(port),
      dataFolder: mkdtempSync(path.join(tmpdir(), 'whinreel-fleet-')),
      peers: new Map(),
      trustedKeys: [],
      trustedChannels: [CHANNEL],
      leaseMs: 5_000,
      seeded: {seeds: [address], isFirstStart: true, voters: 1, minCopies: 1},
    });
    const client = ControlClient.create({
      addresses: [ServerAddress.parse(address)],
      identity: {program: 'operator', id: 'test', incarnation: 'i'},
    });
    const gateways = await Promise.all(
      Array.from({length: options.gateways}, (_, at) =>
        GatewayServer.create({
          gatewayId: `g${at}`,
          zone: 'z',
          host: '127.0.0.1',
          port: 0,
          control: [ServerAddress.parse(address)],
          dialect: plainDialect,
          confirmationMs: options.confirmationMs ?? 4_000,
          changesWithinMs: options.changesWithinMs ?? 2_000,
          retries: {ratio: 1, windowMs: 10_000, slack: 100},
          stopWithinMs: options.stopWithinMs,
        }),
      ),
    );
    const backend = await FakeBackend.create(options.handle);
    const {restartingBackends} = options;
    const fleet = new GatewayFleet(
      control,
      client,
      gateways,
      backend,
      restartingBackends,
      options.findZone,
    );
    await fleet.begin(createRules(options));
    return fleet;
  }

  /** Sends one request to the gateway with this index and reads the response. */
  call(
    gateway: number,
    id: string,
    agent: http.Agent | false = false,
    host = 'h',
    body = 'ask',
    parts: readonly string[] = [],
  ): Promise<CallerView> {
    return new Promise(resolve => {
      const port = this.ports[gateway];
      const headers = {'request-id': id, host, 'prompt-parts': parts.join(' ')};
      const request = http.request({
        host: '127.0.0.1',
        port,
        method: 'POST',
        path: '/x',
        headers,
        agent,
      });
      const noResponse = {status: 0, headers: {}, body: '', isWhole: false};
      request.on('error', (error: NodeJS.ErrnoException) => {
        // Nothing listens on the port, or the gateway closed a kept-alive connection while this request was on its way.
        const isUnread = ['ECONNREFUSED', 'ECONNRESET'].includes(
          error.code ?? '',
        );
        resolve({...noResponse, isUnread});
      });
      request.on('response', answer => {
        let text = '';
        answer.on('data', chunk => (text += String(chunk)));
        answer.on('error', () => undefined);
        answer.on('close', () => {
          const {
            statusCode: status = 0,
            headers: responseHeaders,
            complete,
          } = answer;
          const seen = {
            status,
            headers: responseHeaders,
            body: text,
            isWhole: complete,
          };
          resolve({...seen, isUnread: false});
        });
      });
      request.end(body);
    });
  }

  /** Evacuates a zone or restores it; resolves with the answer of control. */
  setEvacuation(zone: string, isEvacuated: boolean) {
    return this.client.ask<'evacuation-ask'>(
      {type: 'evacuation-ask', zone, isEvacuated, channel: CHANNEL},
      CALL_TIMEOUT_MS,
    );
  }

  /** Stops the only control server. */
  async stopControl(): Promise<void> {
    clearInterval(this.timer);
    this.client.close();
    await this.control.close();
  }

  async close(): Promise<void> {
    clearInterval(this.timer);
    await Promise.all(this.gateways.map(gateway => gateway.close()));
    this.client.close();
    this.backend.close();
    this.restartingBackends?.close();
    await this.control.close();
  }

  private async begin(rules: GatewayRules): Promise<void> {
    const bundle = {channel: CHANNEL, source: 'source', rules};
    const ask = {type: 'channel-bundle-ask' as const, bundle};
    await this.client.ask<'channel-bundle-ask'>(ask, CALL_TIMEOUT_MS);
    this.timer = setInterval(() => this.register(), REGISTER_EVERY_MS);
    this.register();
    await waitUntil('ready gateways', () =>
      this.gateways.every(gateway => gateway.isReady),
    );
  }

  private register(): void {
    const {address} = this.backend;
    const alone = [{incarnation: 'i0', address}];
    (this.restartingBackends?.list() ?? alone).forEach(start =>
      this.registerOne(start),
    );
  }

  private registerOne(start: {incarnation: string; address: string}): void {
    const registration = {
      ...start,
      pool: POOL,
      zone: this.findZone(start.incarnation),
      isLeaving: false,
      sequence: 1,
      slots: 1_000,
      stagedModels: [],
    };
    const ask = {type: 'registration-ask' as const, registration};
    void this.client
      .ask<'registration-ask'>(ask, CALL_TIMEOUT_MS)
      .catch(() => undefined);
  }
}

function createRules({
  route,
  maxConnections = 1_000,
  coldRequestsPerSecond,
  limits,
}: GatewayFleetOptions): GatewayRules {
  return {
    version: 1,
    routes: [
      {
        name: 'r',
        host: 'h',
        pathPrefix: '/',
        kind: 'stream',
        timeoutMs: 6_000,
        objectiveMs: 400,
        priority: 0,
        targets: [{pool: POOL, weight: 1}],
        maxAttempts: 1,
        isAnonymous: true,
        isResumable: false,
        ...route,
      },
    ],
    pools: [{name: POOL, maxConnections, coldRequestsPerSecond}],
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 100_000,
      headerTimeoutMs: 3_000,
      idleTimeoutMs: 15_000,
      ...limits,
    },
  };
}
