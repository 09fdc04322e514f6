/* global Buffer, clearTimeout, setTimeout */
/** The parts that the cases on the plain service share: its configuration, replicas and clients. */
import {randomBytes} from 'node:crypto';
import http from 'node:http';
import path from 'node:path';
import process from 'node:process';
import {createInterface} from 'node:readline';
import {setTimeout as sleep} from 'node:timers/promises';
import {repositoryRoot} from './fleet.mjs';

const HOST = 'loggers.example';
const SERVICE = 'logger-api';
const TIMEOUT_MS = 4000;
const KEY = 'n2ctnfzs989anu6wsjnb';
const ZONES = ['saburtalo', 'didube', 'isani'];

/** Routes as on the sheet of kura-whinreel: logger-config is unsafe, firmware-check is safe. */
export function createConfiguration(version) {
  const route = {
    host: HOST,
    timeout_ms: TIMEOUT_MS,
    target_latency_ms: 386,
    priority: 2,
    service: SERVICE,
    allow_anonymous: false,
    sticky: false,
    resumable: false,
  };
  return {
    version,
    routes: [
      {
        ...route,
        name: 'logger-config',
        path_prefix: '/config/',
        route_type: 'unsafe',
        max_attempts: 1,
      },
      {
        ...route,
        name: 'firmware-check',
        path_prefix: '/firmware/',
        route_type: 'safe',
        max_attempts: 2,
      },
    ],
    services: [
      {
        name: SERVICE,
        health_path: '/health',
        max_connections: 110,
        protocol: 'h1',
        tls: false,
      },
    ],
    limits: {
      max_header_bytes: 16384,
      max_body_bytes: 4194304,
      header_timeout_ms: 3000,
      idle_timeout_ms: 15000,
    },
    tenants: [{name: 'hule930', api_keys: [KEY], priority: 1}],
  };
}

/** Starts one replica with a new id; `onEvent` receives what it tells. */
export async function startReplica(fleet, {at, ip, onEvent, ...options}) {
  const id = `i-${randomBytes(4).toString('hex')}`;
  const settings = {
    id,
    service: SERVICE,
    address: `${ip}:${fleet.port + 3}`,
    zone: ZONES[at % ZONES.length],
    controls: fleet.controlAddresses,
    ...options,
  };
  const program = path.join(
    repositoryRoot,
    'review/support/service_replica.mjs',
  );
  const child = fleet.spawn(
    `replica ${id}`,
    process.execPath,
    [program, JSON.stringify(settings)],
    {PATH: process.env.PATH},
  );
  child.stderr.on('data', chunk => fleet.record(`replica ${id}: ${chunk}`));
  await new Promise(resolve => {
    createInterface({input: child.stdout}).on('line', line => {
      const event = JSON.parse(line);
      if (event.event === 'listens') {
        fleet.record(`replica ${id} starts at ${settings.address}`);
        resolve();
      } else {
        onEvent(event);
      }
    });
  });
  return {
    id,
    ip,
    child,
    tell: text => child.stdin.write(`${JSON.stringify(text)}\n`),
  };
}

/** Sends the configuration, and waits until both routes are served at every gateway. */
export async function installConfiguration(fleet, version = 1) {
  const body = JSON.stringify(createConfiguration(version));
  const {status} = await fleet.callControl('PUT', '/v1/config', body);
  fleet.record(`configuration ${version} acknowledged with ${status}`);
  await fleet.waitForReady();
  fleet.record('all gateways are ready');
}

/** Sends one client attempt over a kept connection and records its answer. */
export class Client {
  constructor(fleet, gateway) {
    const [host, port] = gateway.listen.front.split(':');
    this.fleet = fleet;
    this.gateway = gateway.name;
    this.to = {host, port};
    this.agent = new http.Agent({keepAlive: true});
  }

  send({method, target, body}) {
    const requestId = randomBytes(8).toString('hex');
    const sent = {
      requestId,
      method,
      target,
      gateway: this.gateway,
      sentAt: this.fleet.now(),
    };
    return new Promise(resolve => {
      const finish = (status, text, headers = {}) => {
        clearTimeout(timer);
        resolve({...sent, status, text, headers, endedAt: this.fleet.now()});
      };
      const request = http.request({
        ...this.to,
        agent: this.agent,
        method,
        path: target,
        headers: {
          Host: HOST,
          'X-Whinreel-Request-Id': requestId,
          'X-Whinreel-Request-Deadline-Ms': TIMEOUT_MS,
          Authorization: `Bearer ${KEY}`,
          ...(body === undefined ? {} : {'Content-Length': body.length}),
        },
      });
      const timer = setTimeout(() => request.destroy(), TIMEOUT_MS + 1000);
      request.on('error', error => finish(0, error.message));
      request.on('response', response => {
        const chunks = [];
        response.on('data', chunk => chunks.push(chunk));
        response.on('error', error => finish(0, error.message));
        response.on('end', () =>
          finish(
            response.statusCode,
            Buffer.concat(chunks).toString(),
            response.headers,
          ),
        );
      });
      request.end(body);
    });
  }
}

/** Waits until a request of each kind is served at each gateway. */
export async function waitUntilServed(clients) {
  for (const client of clients) {
    for (let tries = 0; ; tries += 1) {
      const {status} = await client.send({
        method: 'GET',
        target: '/firmware/0',
      });
      if (status === 200) {
        break;
      }
      if (tries > 100) {
        throw new Error(`${client.gateway} does not serve`);
      }
      await sleep(100);
    }
  }
}
