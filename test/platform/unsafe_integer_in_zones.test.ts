/**
 * Guards against a settings file that ends a start: an integer beyond those of JavaScript
 * in a value that nothing reads (the region of a zone, a further internal port) became a
 * BigInt in the settings, which the comparison of two readings cannot format as JSON.
 */
import {mkdtempSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import * as path from 'node:path';
import {afterEach, expect, test} from 'vitest';
import {reservePort} from '../support/reserve_port';
import {SettingsMachine} from './settings_machine';

const BEYOND = 2n ** 53n + 1n;
const IP = '127.3.7.1';
const closers: Array<() => unknown> = [];

afterEach(async () => {
  for (const close of closers.splice(0).reverse()) {
    await close();
  }
});

test.each([
  ['entry', 'zones', {zones: {z: BEYOND}}],
  ['control', 'zones', {zones: {z: BEYOND}}],
  ['entry', 'internal_ports', {}],
  ['control', 'internal_ports', {}],
] as const)(
  'a process of role %s starts with an integer beyond 2^53 in %s',
  async (role, name, changes) => {
    const folder = mkdtempSync(path.join(tmpdir(), 'whinreel-beyond-'));
    closers.push(() => rmSync(folder, {recursive: true, force: true}));
    const [internal, control, front, ready] = await Promise.all(
      [1, 2, 3, 4].map(() => reservePort()),
    );
    const ports = {internal, control, front, ready};
    const machine = SettingsMachine.create({
      role,
      ip: IP,
      ports,
      folder,
      seeds: [IP],
    });
    closers.push(() => machine.kill());
    machine.writeSettings({
      ...machine.describeSettings(true),
      ...changes,
      ...(name === 'internal_ports' && {internal_ports: [internal, BEYOND]}),
    });

    const failure = await machine.start().catch((error: Error) => error);

    expect(failure).toBeUndefined();
  },
);
