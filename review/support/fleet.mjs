/* global Buffer, clearTimeout, performance, setTimeout */
/**
 * Starts a small deployment of the platform's programs on loopback addresses: control
 * processes and gateways as separate processes, each with an address of its own in
 * 127.0.0.0/8, by the commands of deploy/system.toml.
 */
import {spawn} from 'node:child_process';
import {
  mkdtempSync,
  mkdirSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from 'node:fs';
import http from 'node:http';
import net from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {parse} from 'smol-toml';

export const repositoryRoot = path.resolve(
  path.dirname(fileURLToPath(import.meta.url)),
  '../..',
);
/** Bounds of kura-whinreel.toml, as `fleetbench wire` shows them. */
const BOUNDS = {
  seed_lag_s: 3,
  reuse_after_s: 2,
  contact_ms: 3000,
  ack_ms: 4000,
  catch_up_s: 4,
  drain_ms: 2000,
  grace_s: 8,
  loss_slack_ms: 200,
  config_apply_ms: 2000,
  downgrade_slack_ms: 250,
  outer_ms: 5000,
  revoke_strict: true,
  revoke_ms: 5000,
  budget_ratio: 0.2,
  budget_window_s: 10,
  budget_slack: 202,
  recover_s: 12,
  pass_ms: 120,
  retry_after_s: 0,
  stall_ms: 5000,
  require_fencing: true,
  ceiling_window_s: 5,
  ceiling_over: 1.1,
};
const ZONES = ['saburtalo', 'didube', 'isani'];
export const HEARTBEAT_MS = 1200;
/** The platform stops a process with SIGTERM, and with SIGKILL after `grace_s`. */
const GRACE_MS = BOUNDS.grace_s * 1000;
const START_TIMEOUT_MS = 20_000;
const CALL_TIMEOUT_MS = 1000;
const FIRST_PORT = 21_000;
const PORT_RANGE = 8_000;

export function toToml(settings) {
  const isTable = value => typeof value === 'object' && !Array.isArray(value);
  const lines = [];
  for (const [key, value] of Object.entries(settings)) {
    if (!isTable(value)) {
      lines.push(`${key} = ${JSON.stringify(value)}`);
    }
  }
  for (const [key, value] of Object.entries(settings)) {
    if (isTable(value)) {
      lines.push(`[${key}]`);
      for (const [name, entry] of Object.entries(value)) {
        lines.push(`${name} = ${JSON.stringify(entry)}`);
      }
    }
  }
  return `${lines.join('\n')}\n`;
}

function isFree(host, port) {
  return new Promise(resolve => {
    const server = net.createServer();
    server.once('error', () => resolve(false));
    server.listen(port, host, () => server.close(() => resolve(true)));
  });
}

/** One HTTP call; resolves with status 0 after an error or a timeout. */
export function call({
  address,
  method,
  path: target,
  body,
  headers,
  timeoutMs,
}) {
  const [host, port] = address.split(':');
  return new Promise(resolve => {
    const request = http.request({
      host,
      port,
      method,
      path: target,
      agent: false,
      headers: {
        ...headers,
        ...(body === undefined ? {} : {'content-type': 'application/json'}),
      },
    });
    const finish = result => {
      clearTimeout(timer);
      request.destroy();
      resolve(result);
    };
    const timer = setTimeout(
      () => finish({status: 0, body: 'timeout', headers: {}}),
      timeoutMs ?? CALL_TIMEOUT_MS,
    );
    request.on('error', error =>
      finish({status: 0, body: error.message, headers: {}}),
    );
    request.on('response', response => {
      const chunks = [];
      response.on('data', chunk => chunks.push(chunk));
      response.on('error', error =>
        finish({status: 0, body: error.message, headers: {}}),
      );
      response.on('end', () =>
        finish({
          status: response.statusCode,
          headers: response.headers,
          body: Buffer.concat(chunks).toString(),
        }),
      );
    });
    request.end(body);
  });
}

/** The processes of one deployment, and the record of what happened. */
export class Fleet {
  constructor({recordFile, controls = 5, gateways = 2}) {
    this.recordFile = recordFile;
    this.counts = {controls, gateways};
    this.lines = [];
    this.children = new Set();
    this.startedAt = performance.now();
    this.folder = mkdtempSync(path.join(tmpdir(), 'whinreel-review-'));
    this.net = 1 + Math.floor(Math.random() * 200);
    this.port = FIRST_PORT + Math.floor(Math.random() * PORT_RANGE);
    this.nextHost = 1;
    this.roles = parse(
      readFileSync(path.join(repositoryRoot, 'deploy/system.toml'), 'utf8'),
    ).roles;
    this.nodes = [];
  }

  now() {
    return Math.round(performance.now() - this.startedAt);
  }

  record(text) {
    this.lines.push(`${String(this.now()).padStart(7)} ms  ${text}`);
  }

  /** A loopback address that no other machine of this run has. */
  async takeIp() {
    for (;;) {
      const ip = `127.${this.net}.7.${this.nextHost}`;
      this.nextHost += 1;
      const ports = [this.port, this.port + 1, this.port + 10, 9464];
      const free = await Promise.all(ports.map(port => isFree(ip, port)));
      if (free.every(Boolean)) {
        return ip;
      }
    }
  }

  async start() {
    const controlIps = [];
    for (let at = 0; at < this.counts.controls; at += 1) {
      controlIps.push(await this.takeIp());
    }
    this.controlAddresses = controlIps.map(ip => `${ip}:${this.port}`);
    this.seeds = this.controlAddresses.slice(0, 3);
    controlIps.forEach((ip, at) =>
      this.addNode({
        name: `core-${ZONES[at % 3]}-${at}`,
        role: 'control',
        machineClass: 'core',
        ip,
        zone: ZONES[at % 3],
        listen: {control: `${ip}:${this.port}`},
        data_dir: path.join(this.folder, `data-${at}`),
      }),
    );
    for (let at = 0; at < this.counts.gateways; at += 1) {
      const ip = await this.takeIp();
      this.addNode({
        name: `front-${ZONES[at % 3]}-${at}`,
        role: 'entry',
        machineClass: 'front',
        ip,
        zone: ZONES[at % 3],
        listen: {front: `${ip}:${this.port}`, ready: `${ip}:${this.port + 1}`},
      });
    }
    this.nodes.forEach(node => this.startNode(node, true));
  }

  addNode(node) {
    const memory = node.role === 'control' ? 346 : 350;
    node.settingsFile = path.join(this.folder, `${node.name}.toml`);
    node.logFile = path.join(this.folder, `${node.name}.log`);
    node.limits = {cpu_share: 0.81, cpu_cores: 1, memory_mb: memory};
    this.nodes.push(node);
  }

  /** Starts the role's command as the platform does; `bootstrap` only at the first start of all. */
  startNode(node, bootstrap = false) {
    const {run, env = {}} = this.roles[node.role];
    if (node.data_dir) {
      mkdirSync(node.data_dir, {recursive: true});
    }
    writeFileSync(
      node.settingsFile,
      toToml({
        node_name: node.name,
        role: node.role,
        machine_class: node.machineClass,
        serves: [node.role === 'control' ? 'control' : 'front'],
        ip: node.ip,
        zone: node.zone,
        region: 'tbilisi',
        internal_ports: [this.port + 10, this.port + 25],
        seeds: this.seeds,
        bootstrap,
        in_tolerance: node.role === 'control',
        ...(node.data_dir ? {data_dir: node.data_dir} : {}),
        discovery: 'registry',
        entry: 'vip',
        heartbeat_ms: HEARTBEAT_MS,
        contracts: ['base', 'drain', 'config', 'cost', 'retry', 'recover'],
        config_mode: 'highest',
        zones: Object.fromEntries(ZONES.map(zone => [zone, 'tbilisi'])),
        listen: node.listen,
        limits: node.limits,
        fault_tolerance: {machines: 2, zones: 0, regions: 0},
        bounds: BOUNDS,
      }),
    );
    const [program, ...args] = run.split(' ');
    const {PATH, HOME, LANG} = process.env;
    node.child = this.spawn(node.name, program, args, {
      PATH,
      HOME,
      LANG,
      ...env,
      WHINREEL_NODE_FILE: node.settingsFile,
    });
    node.output = '';
    const collect = chunk => (node.output += chunk);
    node.child.stdout.on('data', collect);
    node.child.stderr.on('data', collect);
  }

  spawn(name, program, args, env) {
    const child = spawn(program, args, {
      cwd: repositoryRoot,
      env,
      stdio: ['pipe', 'pipe', 'pipe'],
    });
    child.isExpectedToEnd = false;
    this.children.add(child);
    child.once('exit', (code, signal) => {
      this.children.delete(child);
      child.hasEnded = true;
      if (!child.isExpectedToEnd && !this.isClosing) {
        this.record(`${name} ended by itself: code ${code}, signal ${signal}`);
      }
    });
    return child;
  }

  kill(child, signal = 'SIGKILL') {
    child.isExpectedToEnd = true;
    child.kill(signal);
  }

  get gateways() {
    return this.nodes.filter(({role}) => role === 'entry');
  }

  get controls() {
    return this.nodes.filter(({role}) => role === 'control');
  }

  /** A call to control as its callers make it: the next daemon after a failure, 307 followed. */
  async callControl(method, target, body, timeoutMs = START_TIMEOUT_MS) {
    const until = this.now() + timeoutMs;
    for (let at = 0; this.now() < until; at += 1) {
      const addresses = this.controlAddresses;
      const address = addresses[at % addresses.length];
      const answer = await call({address, method, path: target, body});
      if (answer.status >= 200 && answer.status < 500) {
        return answer;
      }
      await sleep(100);
    }
    throw new Error(`no control process answered ${method} ${target}`);
  }

  async waitForReady() {
    const until = this.now() + START_TIMEOUT_MS;
    for (const {listen, name} of this.gateways) {
      for (;;) {
        const answer = await call({
          address: listen.ready,
          method: 'GET',
          path: '/v1/ready',
        });
        if (answer.status === 200) {
          break;
        }
        if (this.now() > until) {
          throw new Error(`${name} does not become ready`);
        }
        await sleep(100);
      }
    }
  }

  /** Ends all processes and writes the record. */
  async close() {
    this.isClosing = true;
    const children = [...this.children];
    children.forEach(child => child.kill('SIGTERM'));
    const until = performance.now() + Math.min(GRACE_MS, 3000);
    while (this.children.size > 0 && performance.now() < until) {
      await sleep(50);
    }
    [...this.children].forEach(child => child.kill('SIGKILL'));
    while (this.children.size > 0) {
      await sleep(20);
    }
    writeFileSync(this.recordFile, `${this.lines.join('\n')}\n`);
    if (process.env.KEEP_LOGS === '1') {
      this.nodes.forEach(({logFile, output}) => writeFileSync(logFile, output));
      process.stdout.write(`logs in ${this.folder}\n`);
    } else {
      rmSync(this.folder, {recursive: true, force: true});
    }
  }
}

/** Runs a case: 0 if the rule held, 1 if it was broken, 2 if the case could not run. */
export async function runCase(options, play) {
  const fleet = new Fleet(options);
  const limit = setTimeout(() => {
    process.stderr.write('the case took too long\n');
    process.exit(2);
  }, 115_000);
  const endAll = () => {
    [...fleet.children].forEach(child => child.kill('SIGKILL'));
    if (process.env.KEEP_LOGS !== '1') {
      rmSync(fleet.folder, {recursive: true, force: true});
    }
  };
  process.once('exit', endAll);
  process.once('SIGTERM', () => process.exit(2));
  process.once('SIGINT', () => process.exit(2));
  let code = 2;
  try {
    await fleet.start();
    const broken = await play(fleet);
    code = broken ? 1 : 0;
  } catch (error) {
    fleet.record(`the case could not run: ${error.stack}`);
    process.stderr.write(`${error.stack}\n`);
  }
  await fleet.close();
  clearTimeout(limit);
  process.stdout.write(
    `${['the rule held', 'the rule is broken', 'could not run'][code]}\n`,
  );
  process.exit(code);
}
