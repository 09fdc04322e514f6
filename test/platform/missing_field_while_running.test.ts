/**
 * Guards against a settings file whose sound seeds do not take effect in a running
 * process, since a field is missing that counts at a start only. A wrong value of the
 * same field costs only itself.
 */
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import * as path from 'node:path';
import {stringify} from 'smol-toml';
import {afterAll, expect, test} from 'vitest';
import {readSettings} from '../../platform/read_settings';

const folder = mkdtempSync(path.join(tmpdir(), 'whinreel-missing-field-'));
const file = path.join(folder, 'boot.toml');
afterAll(() => rmSync(folder, {recursive: true, force: true}));

const LISTEN = {front: '10.1.0.40:1', ready: '10.1.0.40:2'};
const SOUND = {
  node_name: 'n',
  ip: '10.1.0.40',
  zone: 'z',
  internal_ports: [7_340],
  seeds: ['10.1.0.42:8229'],
  bootstrap: false,
  heartbeat_ms: 1_000,
  listen: LISTEN,
  fault_tolerance: {machines: 1},
  bounds: {grace_s: 8},
};

function read(settings: object, known?: Parameters<typeof readSettings>[2]) {
  writeFileSync(file, stringify(settings));
  return readSettings({WHINREEL_NODE_FILE: file}, 'entry', known).settings;
}

test.each([
  ['wrong', {...LISTEN, front: 'x'}],
  ['missing', {ready: LISTEN.ready}],
])('new seeds take effect beside a %s listen.front', (_, listen) => {
  const known = read(SOUND);
  const seeds = ['10.1.0.43:8229'];

  expect(read({...SOUND, listen, seeds}, known).seeds).toEqual(seeds);
});
