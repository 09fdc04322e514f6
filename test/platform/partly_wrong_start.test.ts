/**
 * Guards against a settings file that ends what runs or what starts again: with one
 * malformed seed no process of either role started, and after a loss of all power none
 * came back before the files were mended.
 */
import {mkdtempSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import * as path from 'node:path';
import {afterEach, expect, test} from 'vitest';
import {sendCall} from '../soak/send_call';
import {reservePort} from '../support/reserve_port';
import {waitUntil} from '../support/wait_until';
import {SettingsMachine} from './settings_machine';

const CONTROLS = ['127.3.1.1', '127.3.1.2', '127.3.1.3'];
const ENTRIES = ['127.3.1.11', '127.3.1.12'];
/** Longer than the formation of a quorum of those that are there. */
const FORMATION_MS = 1_500;
const TEST_MS = 120_000;
const closers: Array<() => unknown> = [];

afterEach(async () => {
  for (const close of closers.splice(0).reverse()) {
    await close();
  }
});

async function createFleet() {
  const folder = mkdtempSync(path.join(tmpdir(), 'whinreel-wrong-settings-'));
  closers.push(() => rmSync(folder, {recursive: true, force: true}));
  const [internal, control, front, ready] = await Promise.all(
    [1, 2, 3, 4].map(() => reservePort()),
  );
  const ports = {internal, control, front, ready};
  const create = (role: 'entry' | 'control') => (ip: string) => {
    const machine = SettingsMachine.create({
      role,
      ip,
      ports,
      folder: path.join(folder, ip),
      seeds: CONTROLS,
    });
    closers.push(() => machine.kill());
    return machine;
  };
  const controls = CONTROLS.map(create('control'));
  const entries = ENTRIES.map(create('entry'));
  return {ports, controls, entries, all: [...controls, ...entries]};
}

type Fleet = Awaited<ReturnType<typeof createFleet>>;

function writeAll(
  machines: readonly SettingsMachine[],
  isFirstStart: boolean,
  changes: object = {},
): void {
  machines.forEach(machine =>
    machine.writeSettings({
      ...machine.describeSettings(isFirstStart),
      ...changes,
    }),
  );
}

function startAll(machines: readonly SettingsMachine[]): Promise<unknown> {
  return Promise.all(machines.map(machine => machine.start()));
}

/** Each control process is asked in turn, as operators do. */
async function callControl(
  {controls, ports}: Fleet,
  method: string,
  url: string,
  body?: object,
): Promise<string | undefined> {
  for (const {options} of controls) {
    const {status, body: answer} = await sendCall({
      url: `http://${options.ip}:${ports.control}${url}`,
      method,
      body: body && JSON.stringify(body),
      patienceMs: 1_000,
    });
    if (status === 200) {
      return answer;
    }
  }
  return undefined;
}

function configure(fleet: Fleet, version: number): Promise<string> {
  const route = {
    name: 'g',
    host: 'h.example',
    path_prefix: '/',
    route_type: 'safe',
    timeout_ms: 2_000,
    target_latency_ms: 100,
    service: 'p',
    allow_anonymous: true,
  };
  const configuration = {
    version,
    routes: [route],
    services: [{name: 'p'}],
    limits: {
      max_header_bytes: 16_384,
      max_body_bytes: 65_536,
      header_timeout_ms: 3_000,
      idle_timeout_ms: 15_000,
    },
  };
  return waitUntil(`configuration ${version}`, () =>
    callControl(fleet, 'PUT', '/v1/config', configuration),
  );
}

async function register(fleet: Fleet): Promise<boolean> {
  const registration = {
    service: 'p',
    address: '127.0.0.1:9',
    zone: 'z',
    slots: 1,
    state: 'ready',
    sequence: 1,
  };
  const url = '/v1/replicas/i1';
  return (await callControl(fleet, 'PUT', url, registration)) !== undefined;
}

async function isReady(fleet: Fleet, entry: SettingsMachine): Promise<boolean> {
  const {status} = await sendCall({
    url: `http://${entry.options.ip}:${fleet.ports.ready}/`,
    method: 'GET',
  });
  return status === 200;
}

async function waitUntilReady(fleet: Fleet): Promise<void> {
  await waitUntil('ready gateways', async () => {
    await register(fleet);
    const ready = await Promise.all(
      fleet.entries.map(entry => isReady(fleet, entry)),
    );
    return ready.every(Boolean);
  });
}

function readVersion(text: string): number {
  return (JSON.parse(text) as {version: number}).version;
}

test(
  'after a loss of power, control leads again from its disks and gateways wait for a mended file',
  async () => {
    const fleet = await createFleet();
    const {all, controls, entries} = fleet;
    writeAll(all, true);
    await startAll(all);
    await configure(fleet, 4);
    await waitUntilReady(fleet);

    const wrong = {
      seeds: ['127.0.0.1', 5, '::1:80'],
      heartbeat_ms: 'often',
      zones: 7,
      fault_tolerance: {machines: 1e9},
      bounds: {grace_s: 1e12, revoke_ms: 0},
    };
    writeAll(all, false, wrong);
    all.forEach(machine => machine.reload());
    await Promise.all(
      all.map(machine =>
        waitUntil('the wrong seeds in the log', () =>
          machine
            .listReasons('settings-ignored')
            .some(reason => reason.includes('seeds')),
        ),
      ),
    );
    expect(await configure(fleet, 5)).toBeDefined();
    expect(await isReady(fleet, entries[0])).toBe(true);

    await Promise.all(all.map(machine => machine.kill()));
    await startAll(all);
    const source = await waitUntil('the configuration', () =>
      callControl(fleet, 'GET', '/v1/config'),
    );
    expect(readVersion(source)).toBe(5);
    await configure(fleet, 6);
    for (const entry of entries) {
      expect(await isReady(fleet, entry)).toBe(false);
      expect(entry.listReasons('seeds-missing')).toHaveLength(1);
      const {status} = await sendCall({
        url: `http://${entry.options.ip}:${fleet.ports.front}/`,
        method: 'GET',
        headers: {host: 'h.example', 'x-whinreel-request-id': 'r1'},
      });
      expect(status).toBe(503);
    }
    for (const machine of all) {
      expect(machine.listReasons('settings-ignored')).toHaveLength(9);
      expect(machine.listReasons('metrics-unavailable')).toHaveLength(1);
    }

    // One gateway is told of the mended file, the other finds it by itself.
    writeAll(all, false);
    entries[0].reload();
    await waitUntilReady(fleet);
    expect(all.filter(machine => machine.hasExited)).toEqual([]);
    const deferred = await waitUntil('the deferred field', () =>
      controls[0].listReasons('settings-deferred').at(0),
    );
    expect(deferred).toBe('these take effect at the next start: heartbeat_ms');
  },
  TEST_MS,
);

test.each([
  [0, 'data_dir', {data_dir: '/dev/null/data'}],
  [0, 'listen.control', {listen: {control: '192.0.2.1:80'}}],
  [3, 'listen.front', {listen: {front: '192.0.2.1:80', ready: '127.0.0.1:1'}}],
])(
  'a start that a sound value prevents (%d, %s) names it',
  async (at, name, changes) => {
    const {all} = await createFleet();
    writeAll([all[at]], true, changes);
    const error = await all[at].start().catch((failure: Error) => failure);

    const value = JSON.stringify(Object.values(changes)[0]).match(
      /"[/\d][^"]*"/,
    );
    expect(String(error)).toContain('boot.toml: cannot start with ');
    expect(String(error)).toContain(`${name} = ${value?.[0]}`);
  },
);

test(
  'a first start with too few sound seeds forms the whole quorum once the files are mended',
  async () => {
    const fleet = await createFleet();
    const {controls} = fleet;
    // Each knows itself alone, and could form a quorum of one.
    controls.forEach(machine => {
      const {ip, ports} = machine.options;
      const seeds = [`${ip}:${ports.control}`, '127.3.1', 'odd'];
      writeAll([machine], true, {seeds});
    });
    await startAll(controls);
    await new Promise(resolve => setTimeout(resolve, FORMATION_MS));
    for (const machine of controls) {
      expect(machine.listReasons('quorum-formed')).toEqual([]);
      expect(machine.listReasons('formation-deferred')).toHaveLength(1);
    }
    writeAll(controls, true);
    controls.forEach(machine => machine.reload());
    await configure(fleet, 4);
    const [formed] = await waitUntil('the quorum', () => {
      const reasons = controls.flatMap(machine =>
        machine.listReasons('quorum-formed'),
      );
      return reasons.length === CONTROLS.length && reasons;
    });

    CONTROLS.forEach(ip => expect(formed).toContain(ip));
    expect(controls.filter(machine => machine.hasExited)).toEqual([]);
  },
  TEST_MS,
);
