/**
 * One randomized run of the real programs under faults from outside. What is
 * checked while it runs, from what callers, operators and backend servers see:
 * a request that may not run again runs once at most; one that was refused has
 * not run; a success is the backend server's own; what was acknowledged is never
 * read back older, and is there at the end.
 */
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import * as http from 'node:http';
import {tmpdir} from 'node:os';
import * as path from 'node:path';
import {reservePort} from '../support/reserve_port';
import {waitUntil} from '../support/wait_until';
import {SoakBackend} from './soak_backend';
import {SoakMachine} from './soak_machine';

const CONTROLS = 3;
const ENTRIES = 2;
const BACKENDS = 3;
const CALL_MS = 2_500;
const REFUSALS = new Set([408, 421, 429, 503]);

/** What one run is given. */
interface SoakRunOptions {
  readonly seed: number;
  /** How long faults come, in milliseconds. */
  readonly forMs: number;
}

/** An answer, or status 0 for none. */
interface Reply {
  readonly status: number;
  readonly body: string;
}

/** Numbers in [0, 1) that depend on nothing but the seed. */
function createRandom(seed: number): () => number {
  let state = seed >>> 0;
  return () => {
    state = (Math.imul(state, 1_664_525) + 1_013_904_223) >>> 0;
    return state / 2 ** 32;
  };
}

function call(
  url: string,
  method: string,
  headers: Record<string, string> = {},
  body = '',
): Promise<Reply> {
  return new Promise(resolve => {
    const request = http.request(url, {method, headers, agent: false});
    const timer = setTimeout(() => request.destroy(), CALL_MS);
    const finish = (reply: Reply) => {
      clearTimeout(timer);
      resolve(reply);
    };
    request.on('error', () => finish({status: 0, body: ''}));
    request.on('response', answer => {
      let text = '';
      answer.on('data', chunk => (text += chunk));
      answer.on('error', () => undefined);
      answer.on('close', () => {
        const status = answer.complete ? (answer.statusCode ?? 0) : 0;
        finish({status, body: text});
      });
    });
    request.end(body);
  });
}

/** A fleet, its callers and its operator. */
export class SoakRun {
  /** Broken promises, each in a sentence. */
  readonly broken: string[] = [];
  answered = 0;
  refused = 0;
  acknowledged = 0;
  private readonly runs = new Map<string, number>();
  private readonly backends: SoakBackend[] = [];
  private readonly random: () => number;
  private readonly refusedIds: string[] = [];
  private ackedVersion = 0;
  private nextVersion = 1;
  private nextId = 0;
  private isOver = false;

  private constructor(
    private readonly options: SoakRunOptions,
    private readonly folder: string,
    private readonly controls: readonly SoakMachine[],
    private readonly entries: readonly SoakMachine[],
  ) {
    this.random = createRandom(options.seed);
  }

  /** Plays one run; the result names what was broken, if anything. */
  static async play(options: SoakRunOptions): Promise<SoakRun> {
    const folder = mkdtempSync(path.join(tmpdir(), 'whinreel-soak-'));
    const [internal, control, front, ready] = await Promise.all(
      [1, 2, 3, 4].map(() => reservePort()),
    );
    const ports = {internal, control, front, ready};
    const block = 1 + (options.seed % 200);
    const seeds = Array.from(
      {length: CONTROLS},
      (_, at) => `127.1.${block}.${at + 1}`,
    );
    const create = (role: 'entry' | 'control', ip: string) =>
      SoakMachine.create({
        role,
        ip,
        ports,
        seeds,
        folder: path.join(folder, ip),
      });
    const entries = Array.from({length: ENTRIES}, (_, at) =>
      create('entry', `127.1.${block}.${at + 11}`),
    );
    const controls = seeds.map(ip => create('control', ip));
    const run = new SoakRun(options, folder, controls, entries);
    try {
      await run.playAll();
    } catch (error) {
      const file = run.saveLogs();
      throw new Error(`seed ${options.seed}, logs in ${file}`, {cause: error});
    } finally {
      await run.close();
    }
    return run;
  }

  private async playAll(): Promise<void> {
    const machines = [...this.controls, ...this.entries];
    await Promise.all(machines.map(machine => machine.start()));
    for (let at = 0; at < BACKENDS; at += 1) {
      this.backends.push(
        await SoakBackend.create(
          `i${at}`,
          this.runs,
          () => this.choose(this.controls, 'control'),
          this.random,
        ),
      );
    }
    await waitUntil('the first bundle', () => this.rollOut());
    await waitUntil('the first answer', () => this.send());
    const work = [
      this.repeat(() => this.send(), 15),
      this.repeat(() => this.send(), 15),
      this.repeat(() => this.rollOut(), 400),
      this.repeat(() => this.readBack(), 150),
    ];
    const endsAt = performance.now() + this.options.forMs;
    while (performance.now() < endsAt) {
      await this.injectFault();
    }
    for (const machine of machines.filter(({isUp}) => !isUp)) {
      await machine.start();
    }
    this.isOver = true;
    await Promise.all(work);
    await waitUntil('an answer after all faults', () => this.send());
    await waitUntil('the bundle after all faults', () => this.readBack());
    this.checkRuns();
  }

  /** At most one control host is away at once, as the settings allow. */
  private async injectFault(): Promise<void> {
    const pool = this.random() < 0.6 ? this.controls : this.entries;
    const machine = pool[Math.floor(this.random() * pool.length)];
    const pauseMs = 200 + this.random() * 1_500;
    const wait = () => new Promise(resolve => setTimeout(resolve, pauseMs));
    const faults: Array<() => Promise<void>> = [
      async () => {
        await machine.kill();
        await wait();
        await machine.start();
      },
      async () => {
        machine.pause();
        await wait();
        machine.resume();
      },
      async () => {
        await machine.stop();
        await machine.start();
      },
      async () => {
        await machine.kill();
        machine.wipe();
        await machine.start();
      },
    ];
    await faults[Math.floor(this.random() * faults.length)]();
    // The next loss must find the quorum whole again.
    await waitUntil('control', () => this.readBack());
    await new Promise(resolve => setTimeout(resolve, 1_000));
  }

  private async repeat(
    step: () => Promise<unknown>,
    everyMs: number,
  ): Promise<void> {
    while (!this.isOver) {
      await step();
      await new Promise(resolve => setTimeout(resolve, everyMs));
    }
  }

  private choose(
    machines: readonly SoakMachine[],
    port: 'control' | 'front',
  ): string {
    const {ip, ports} =
      machines[Math.floor(this.random() * machines.length)].options;
    return `${ip}:${ports[port]}`;
  }

  /** Sends one request that may not run again; true when it was answered. */
  private async send(): Promise<boolean> {
    this.nextId += 1;
    const id = `q${this.nextId}`;
    const {status, body} = await call(
      `http://${this.choose(this.entries, 'front')}/a/x`,
      'POST',
      {host: 'h.example', 'x-whinreel-request-id': id},
      'order',
    );
    if (REFUSALS.has(status)) {
      this.refused += 1;
      this.refusedIds.push(id);
    }
    if (status === 200) {
      this.answered += 1;
      if (body !== `ran ${id}`) {
        this.broken.push(`${id} got "${body}"`);
      }
    }
    return status === 200;
  }

  private async rollOut(): Promise<boolean> {
    const version = this.nextVersion;
    this.nextVersion += 1;
    const url = `http://${this.choose(this.controls, 'control')}/v1/config`;
    const {status} = await call(url, 'PUT', {}, formatBundle(version));
    if (status === 200) {
      this.acknowledged += 1;
      this.ackedVersion = Math.max(this.ackedVersion, version);
    }
    return status === 200;
  }

  /** True when some version was read; an older one than was acknowledged before is a broken promise. */
  private async readBack(): Promise<boolean> {
    const acked = this.ackedVersion;
    const url = `http://${this.choose(this.controls, 'control')}/v1/config`;
    const {status, body} = await call(url, 'GET');
    if (status !== 200) {
      return false;
    }
    const {version} = JSON.parse(body) as {version: number};
    if (version < acked) {
      this.broken.push(`version ${version} was read after ${acked} was acked`);
    }
    return true;
  }

  private checkRuns(): void {
    // At the end, since a refused request must not run later either.
    for (const id of this.refusedIds.filter(refused =>
      this.runs.has(refused),
    )) {
      this.broken.push(`${id} was refused and has run`);
    }
    for (const [id, count] of this.runs) {
      if (count > 1) {
        this.broken.push(`${id} ran ${count} times`);
      }
    }
  }

  private saveLogs(): string {
    const file = path.join(tmpdir(), `whinreel-soak-${this.options.seed}.log`);
    const machines = [...this.controls, ...this.entries];
    const lines = machines.flatMap(({options, log}) =>
      log.map(line => `${options.ip} ${line}`),
    );
    writeFileSync(file, lines.join('\n'));
    return file;
  }

  private async close(): Promise<void> {
    this.isOver = true;
    this.backends.forEach(backend => backend.close());
    const machines = [...this.controls, ...this.entries];
    await Promise.all(machines.map(machine => machine.kill()));
    rmSync(this.folder, {recursive: true, force: true});
  }
}

function formatBundle(version: number): string {
  return JSON.stringify({
    version,
    routes: [
      {
        name: 'r',
        host: 'h.example',
        path_prefix: '/a/',
        route_type: 'unsafe',
        timeout_ms: 2_000,
        target_latency_ms: 300,
        service: 'p',
        max_attempts: 1,
        allow_anonymous: true,
      },
    ],
    services: [{name: 'p', max_connections: 50}],
    limits: {
      max_header_bytes: 16_384,
      max_body_bytes: 65_536,
      header_timeout_ms: 3_000,
      idle_timeout_ms: 15_000,
    },
  });
}
