/**
 * Guards against a control process that acknowledges no change after a restart because
 * its settings file no longer tells how many machines may be lost.
 */
import {mkdtempSync, readFileSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import * as path from 'node:path';
import {stringify} from 'smol-toml';
import {afterEach, beforeEach, expect, test} from 'vitest';
import {EventRing} from '../../src/common/event_ring';
import {PlatformSettings} from '../../platform/platform_settings';
import {readSettings} from '../../platform/read_settings';
import {toleranceMemory} from '../../platform/tolerance_memory';

let folder = '';
const events = EventRing.create();

beforeEach(() => {
  folder = mkdtempSync(path.join(tmpdir(), 'whinreel-tolerance-'));
});

afterEach(() => rmSync(folder, {recursive: true, force: true}));

function createSettings(machines?: number, dataFolder = folder) {
  return PlatformSettings.parse({
    node_name: 'n',
    internal_ports: [7_340],
    data_dir: dataFolder,
    fault_tolerance: {machines},
  });
}

/** Reads a settings file that tells the number, or holds something else in its place. */
async function restore(machines: number | string) {
  const file = path.join(folder, 'boot.toml');
  const listen = {control: '127.0.0.1:80'};
  const settings = {...createSettings(1), listen, fault_tolerance: {machines}};
  writeFileSync(file, stringify(settings));
  const env = {WHINREEL_NODE_FILE: file};
  const reading = readSettings(env, 'control');
  const restored = await toleranceMemory.restore(env, reading);
  const notice = restored.notices.find(each => each.includes('machines'));
  return {machines: restored.settings.fault_tolerance.machines, notice};
}

test('the last number that a sound file told stands in for one that is wrong', async () => {
  await toleranceMemory.save(createSettings(1), events);
  await toleranceMemory.save(createSettings(2), events);
  await toleranceMemory.save(createSettings(), events);

  const {machines, notice} = await restore('odd');
  expect(machines).toBe(2);
  expect(notice).toMatch(/fault_tolerance\.machines is "odd": .*; 2 is used$/);
  expect(await restore(3)).toEqual({machines: 3, notice: undefined});
});

test.each(['', 'x', '-1', '1e9', '999'])(
  'a saved number %j is not used',
  async text => {
    writeFileSync(path.join(folder, 'tolerated_machines'), text);

    expect((await restore('odd')).machines).toBeUndefined();
  },
);

test('an empty disk tells nothing', async () => {
  expect((await restore('odd')).machines).toBeUndefined();
});

test('a disk that cannot be written is only recorded', async () => {
  const file = path.join(folder, 'file');
  writeFileSync(file, 'x');
  await toleranceMemory.save(createSettings(1, file), events);

  expect(readFileSync(file, 'utf8')).toBe('x');
  expect(events.listSince(0).map(({type}) => type)).toEqual([
    'tolerance-not-saved',
  ]);
});
