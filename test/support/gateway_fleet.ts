/** One control process, gateways that follow it, and a backend server, all in this process. */
import {mkdtempSync} from 'node:fs';
import * as http from 'node:http';
import {tmpdir} from 'node:os';
import * as path from 'node:path';
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
const ASK_MS = 10_000;
const REGISTER_EVERY_MS = 300;
const POOL = 'p';

/** What a fleet is made of. */
interface GatewayFleetOptions {
  readonly gateways: number;
  /** How long a gateway may take to stop, in milliseconds. */
  readonly stopWithinMs: number;
  /** Within which a change of rules is in force everywhere, in milliseconds. */
  readonly changesWithinMs?: number;
  readonly route: Partial<GatewayRules['routes'][number]>;
  readonly handle: Parameters<typeof FakeBackend.create>[0];
  /** Backend servers in place of the only one that never ends; `handle` is passed over. */
  readonly restartingBackends?: RestartingBackends;
  /** Connections that the backend server takes from all gateways and one more. */
  readonly maxConnections?: number;
}

/** What a caller saw of one request. */
interface CallerView {
  /** 0 when there was no answer. */
  readonly status: number;
  readonly headers: http.IncomingHttpHeaders;
  readonly body: string;
  /** True when the answer came to its end. */
  readonly isWhole: boolean;
  /** True when the connection was refused or closed before anything was read. */
  readonly isUnread: boolean;
}

/** A small fleet. */
export class GatewayFleet {
  private timer: NodeJS.Timeout | undefined;
  /** Kept, since a gateway that has stopped has none. */
  private readonly ports: readonly number[];

  private constructor(
    private readonly control: ControlServer,
    private readonly client: ControlClient,
    readonly gateways: readonly GatewayServer[],
    readonly backend: FakeBackend,
    private readonly restartingBackends: RestartingBackends | undefined,
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
      addresses: [address],
      identity: {program: 'operator', id: 'test', incarnation: 'i'},
    });
    const gateways = await Promise.all(
      Array.from({length: options.gateways}, (_, at) =>
        GatewayServer.create({
          gatewayId: `g${at}`,
          zone: 'z',
          host: '127.0.0.1',
          port: 0,
          control: [address],
          dialect: plainDialect,
          confirmationMs: 4_000,
          changesWithinMs: options.changesWithinMs ?? 2_000,
          retries: {ratio: 1, windowMs: 10_000, slack: 100},
          stopWithinMs: options.stopWithinMs,
        }),
      ),
    );
    const backend = await FakeBackend.create(options.handle);
    const {restartingBackends: slots} = options;
    const fleet = new GatewayFleet(control, client, gateways, backend, slots);
    await fleet.begin(createRules(options));
    return fleet;
  }

  /** Sends one request to the gateway of this number and reads what comes of it. */
  call(
    gateway: number,
    id: string,
    agent: http.Agent | false = false,
    host = 'h',
    body = 'ask',
  ): Promise<CallerView> {
    return new Promise(resolve => {
      const port = this.ports[gateway];
      const headers = {'request-id': id, host};
      const request = http.request({
        host: '127.0.0.1',
        port,
        method: 'POST',
        path: '/x',
        headers,
        agent,
      });
      const nothing = {status: 0, headers: {}, body: '', isWhole: false};
      request.on('error', (error: NodeJS.ErrnoException) => {
        // A dead port, or a kept connection whose close crossed this request.
        const isUnread = ['ECONNREFUSED', 'ECONNRESET'].includes(
          error.code ?? '',
        );
        resolve({...nothing, isUnread});
      });
      request.on('response', answer => {
        let text = '';
        answer.on('data', chunk => (text += String(chunk)));
        answer.on('error', () => undefined);
        answer.on('close', () => {
          const {statusCode: status = 0, headers: told, complete} = answer;
          const seen = {status, headers: told, body: text, isWhole: complete};
          resolve({...seen, isUnread: false});
        });
      });
      request.end(body);
    });
  }

  /** Takes the only control process away. */
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
    await this.client.ask<'channel-bundle-ask'>(ask, ASK_MS);
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
      zone: 'z',
      isLeaving: false,
      sequence: 1,
      slots: 1_000,
      stagedModels: [],
    };
    const ask = {type: 'registration-ask' as const, registration};
    void this.client
      .ask<'registration-ask'>(ask, ASK_MS)
      .catch(() => undefined);
  }
}

function createRules({
  route,
  maxConnections = 1_000,
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
    pools: [{name: POOL, maxConnections}],
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 100_000,
      headerTimeoutMs: 3_000,
      idleTimeoutMs: 15_000,
    },
  };
}
