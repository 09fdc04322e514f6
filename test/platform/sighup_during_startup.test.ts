/**
 * Guards against a program that dies of a SIGHUP sent during its start: the handler
 * that reloads the settings was installed only by `watchSettings`, the last step of
 * the start, and the default action of the signal ends the process.
 */
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import * as path from 'node:path';
import {afterEach, expect, test} from 'vitest';
import {ManagedProcess} from '../support/managed_process';
import {reservePort} from '../support/reserve_port';

/** Preloaded script that sends SIGHUP to its own process at the first call of `listen`. */
const SEND_SIGHUP_ON_LISTEN = `
const {Server} = require('node:net');
const {listen} = Server.prototype;
Server.prototype.listen = function (...args) {
  Server.prototype.listen = listen;
  process.kill(process.pid, 'SIGHUP');
  return listen.apply(this, args);
};
`;

const closers: Array<() => unknown> = [];

afterEach(async () => {
  for (const close of closers.splice(0).reverse()) {
    await close();
  }
});

test.each(['entry', 'control'])(
  '%s survives a SIGHUP during its start',
  async role => {
    const folder = mkdtempSync(path.join(tmpdir(), 'whinreel-hangup-'));
    closers.push(() => rmSync(folder, {recursive: true, force: true}));
    const [internal, control, front, ready] = await Promise.all(
      [1, 2, 3, 4].map(() => reservePort()),
    );
    const preload = path.join(folder, 'preload.cjs');
    writeFileSync(preload, SEND_SIGHUP_ON_LISTEN);
    const settings = path.join(folder, 'settings.toml');
    writeFileSync(
      settings,
      [
        'node_name = "n"',
        'ip = "127.0.0.1"',
        'zone = "z"',
        `internal_ports = [${internal},${internal}]`,
        `seeds = ["127.0.0.1:${control}"]`,
        'bootstrap = true',
        `data_dir = "${folder}/data"`,
        'heartbeat_ms = 300',
        '[listen]',
        `front = "127.0.0.1:${front}"`,
        `ready = "127.0.0.1:${ready}"`,
        `control = "127.0.0.1:${control}"`,
        '[fault_tolerance]',
        'machines = 0',
        '[bounds]',
        'grace_s = 8',
      ].join('\n'),
    );

    const program = await ManagedProcess.create({
      label: role,
      script: `platform/bin/${role}.js`,
      args: [],
      env: {
        WHINREEL_NODE_FILE: settings,
        NODE_OPTIONS: `--require ${preload}`,
      },
    });
    closers.push(() => program.kill());

    expect(program.ready).toMatchObject({ready: `whinreel-${role}`});
  },
);
