'use strict';
/* global Buffer, __dirname, clearTimeout, module, process, require, setTimeout */
/** Starts the project's programs as the deploy file does, on loopback addresses, with a small deployment's settings. */
const {spawn} = require('node:child_process');
const fs = require('node:fs');
const http = require('node:http');
const net = require('node:net');
const os = require('node:os');
const path = require('node:path');

const ROOT = path.resolve(__dirname, '../..');
/** The platform starts a process that ended after a short delay. */
const RESTART_AFTER_MS = 500;
const COULD_NOT_RUN = 2;
const sleep = ms => new Promise(resolve => setTimeout(resolve, ms));

/** Finds ports that are free on all loopback addresses. */
async function findPorts(count) {
  const servers = [];
  for (let at = 0; at < count; at += 1) {
    const server = net.createServer();
    await new Promise(resolve => server.listen(0, '0.0.0.0', resolve));
    servers.push(server);
  }
  const ports = servers.map(server => server.address().port);
  await Promise.all(
    servers.map(server => new Promise(resolve => server.close(resolve))),
  );
  return ports;
}

/** Reads the `run` words of a role from the deploy file. */
function readCommand(role) {
  const text = fs.readFileSync(path.join(ROOT, 'deploy/system.toml'), 'utf8');
  const section = text.split(`[roles.${role}]`)[1].split('[roles.')[0];
  return /^run = "([^"]+)"$/m.exec(section)[1].split(' ');
}

class Deployment {
  constructor(options = {}) {
    const {cores = 3, fronts = 1, tolerated = 1, bounds = {}} = options;
    this.options = {cores, fronts, tolerated, bounds, heartbeatMs: 1200};
    this.startedAt = Date.now();
    this.lines = [];
    this.processes = [];
    process.setMaxListeners(0);
    // Whatever ends the script, nothing that it started is left.
    process.once('exit', () => {
      this.processes.forEach(child => child.kill('SIGKILL'));
      fs.rmSync(this.folder, {recursive: true, force: true});
    });
    ['SIGTERM', 'SIGINT'].forEach(name =>
      process.once(name, () => process.exit(COULD_NOT_RUN)),
    );
    this.folder = fs.mkdtempSync(path.join(os.tmpdir(), 'review-'));
    this.net = 16 + Math.floor(Math.random() * 200);
  }

  log(text) {
    const at = ((Date.now() - this.startedAt) / 1000).toFixed(3);
    this.lines.push(`${at.padStart(8)} ${text}`);
  }

  save(file) {
    fs.writeFileSync(file, this.lines.join('\n') + '\n');
  }

  async start() {
    const {cores, fronts} = this.options;
    const [control, front, ready, metrics, first, spare] = await findPorts(6);
    const internal = [first, first];
    this.ports = {control, front, ready, metrics, internal, spare};
    this.cores = [];
    this.fronts = [];
    for (let at = 0; at < cores; at += 1) {
      this.cores.push(this.createMachine('control', `core-${at + 1}`, at + 1));
    }
    for (let at = 0; at < fronts; at += 1) {
      this.fronts.push(this.createMachine('entry', `front-${at + 1}`, at + 31));
    }
    [...this.cores, ...this.fronts].forEach(machine => this.run(machine));
  }

  createMachine(role, name, at) {
    const ip = `127.${this.net}.0.${at}`;
    const file = path.join(this.folder, `${name}.toml`);
    const dataDir = path.join(this.folder, `${name}-data`);
    if (role === 'control') {
      fs.mkdirSync(dataDir, {recursive: true});
    }
    return {role, name, ip, file, dataDir, bootstrap: true, child: undefined};
  }

  writeSettings({role, name, ip, file, dataDir, bootstrap}) {
    const {ports, options} = this;
    const seeds = this.cores
      .slice(0, 3)
      .map(({ip}) => `${ip}:${ports.control}`);
    const isCore = role === 'control';
    const listen = isCore
      ? [`control = "${ip}:${ports.control}"`]
      : [`front = "${ip}:${ports.front}"`, `ready = "${ip}:${ports.ready}"`];
    const bounds = {
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
      ...options.bounds,
    };
    const text = [
      `node_name = "${name}"`,
      `role = "${role}"`,
      `machine_class = "${isCore ? 'core' : 'front'}"`,
      `serves = ["${isCore ? 'control' : 'front'}"]`,
      `ip = "${ip}"`,
      'zone = "saburtalo"',
      'region = "tbilisi"',
      `internal_ports = [${ports.internal.join(',')}]`,
      `seeds = [${seeds.map(seed => `"${seed}"`).join(',')}]`,
      `bootstrap = ${bootstrap}`,
      `in_tolerance = ${isCore}`,
      ...(isCore ? [`data_dir = "${dataDir}"`] : []),
      `heartbeat_ms = ${options.heartbeatMs}`,
      'config_mode = "highest"',
      '[zones]',
      'saburtalo = "tbilisi"',
      '[listen]',
      ...listen,
      '[limits]',
      `memory_mb = ${isCore ? 346 : 350}`,
      `max_fds = ${isCore ? 4096 : 4100}`,
      '[fault_tolerance]',
      `machines = ${options.tolerated}`,
      'zones = 0',
      'regions = 0',
      '[bounds]',
      ...Object.entries(bounds).map(([key, value]) => `${key} = ${value}`),
    ].join('\n');
    fs.writeFileSync(`${file}.new`, text + '\n');
    fs.renameSync(`${file}.new`, file);
  }

  run(machine) {
    this.writeSettings(machine);
    const [program, ...words] = readCommand(machine.role);
    const child = spawn(program, words, {
      cwd: ROOT,
      env: {
        PATH: process.env.PATH,
        HOME: process.env.HOME,
        WHINREEL_NODE_FILE: machine.file,
        WHINREEL_METRICS_PORT: String(this.ports.metrics),
      },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    machine.child = child;
    machine.output = [];
    machine.wasStopped = false;
    machine.bootstrap = false;
    for (const stream of [child.stdout, child.stderr]) {
      stream.on('data', data => machine.output.push(data.toString()));
    }
    child.on('exit', (code, signal) => {
      if (!machine.wasStopped) {
        machine.endedByItself = {code, signal};
        this.log(
          `${machine.name} ENDED BY ITSELF code ${code} signal ${signal}`,
        );
        const tail = machine.output.join('').split('\n').slice(-6).join('\n');
        this.log(`its last output:\n${tail}`);
      }
    });
    this.processes.push(child);
    this.log(`${machine.name} started, pid ${child.pid}`);
  }

  /** Starts the process again whenever it ends by itself, as the platform does. */
  keepRunning(machine) {
    machine.child.once('exit', () => {
      if (!machine.wasStopped && !this.isStopped) {
        machine.ends = (machine.ends ?? 0) + 1;
        setTimeout(() => {
          if (!this.isStopped) {
            this.run(machine);
            this.keepRunning(machine);
          }
        }, RESTART_AFTER_MS);
      }
    });
  }

  signal(machine, name) {
    if (['SIGKILL', 'SIGTERM'].includes(name)) {
      machine.wasStopped = true;
    }
    this.log(`${name} to ${machine.name}`);
    machine.child.kill(name);
  }

  async waitForExit(machine) {
    const {child} = machine;
    while (child.exitCode === null && child.signalCode === null) {
      await sleep(10);
    }
  }

  /** One call to the API of control, at the first process that answers it clearly. */
  async callControl(method, url, body, {only, tries = 40} = {}) {
    for (let at = 0; at < tries; at += 1) {
      const core = only ?? this.cores[at % this.cores.length];
      const answer = await call({
        host: core.ip,
        port: this.ports.control,
        method,
        path: url,
        body,
        timeoutMs: 1000,
      });
      if (answer.status && answer.status < 500) {
        return {...answer, core: core.name};
      }
      if (only) {
        return {...answer, core: core.name};
      }
      await sleep(100);
    }
    return {status: 0};
  }

  async putConfiguration(configuration) {
    const body = JSON.stringify(configuration);
    const {status, core} = await this.callControl('PUT', '/v1/config', body);
    this.log(
      `operator: PUT version ${configuration.version}: ${status} at ${core}`,
    );
    return status;
  }

  async waitForReady(machine, timeoutMs = 20000) {
    const until = Date.now() + timeoutMs;
    while (Date.now() < until) {
      const {status} = await call({
        host: machine.ip,
        port: this.ports.ready,
        path: '/v1/ready',
        timeoutMs: 500,
      });
      if (status === 200) {
        return true;
      }
      await sleep(50);
    }
    return false;
  }

  async stop() {
    this.isStopped = true;
    for (const {child} of [...this.cores, ...this.fronts]) {
      child.kill('SIGCONT');
    }
    [...this.cores, ...this.fronts].forEach(machine => {
      machine.wasStopped = true;
    });
    this.processes.forEach(child => child.kill('SIGKILL'));
    await sleep(100);
    fs.rmSync(this.folder, {recursive: true, force: true});
  }
}

/** One HTTP request on a connection of its own; status 0 without an answer. */
function call({
  host,
  port,
  method = 'GET',
  path: url,
  headers,
  body,
  timeoutMs,
}) {
  return new Promise(resolve => {
    const request = http.request({
      host,
      port,
      method,
      path: url,
      headers: {
        ...headers,
        ...(body ? {'content-length': Buffer.byteLength(body)} : {}),
      },
      agent: false,
    });
    const timer = setTimeout(() => {
      request.destroy();
      resolve({status: 0, error: 'timeout'});
    }, timeoutMs ?? 5000);
    request.on('error', error => {
      clearTimeout(timer);
      resolve({status: 0, error: error.message});
    });
    request.on('response', response => {
      const parts = [];
      response.on('data', part => parts.push(part));
      response.on('error', () => undefined);
      response.on('close', () => {
        clearTimeout(timer);
        resolve({
          status: response.statusCode,
          headers: response.headers,
          isComplete: response.complete,
          body: Buffer.concat(parts).toString(),
        });
      });
    });
    request.end(body);
  });
}

module.exports = {Deployment, call, sleep, findPorts};
