/** An operator who mistypes a setting finds neither its file nor its field in the log. */
import {spawnSync} from 'node:child_process';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import * as path from 'node:path';
import {afterEach, beforeEach, expect, test} from 'vitest';
import {reservePort} from '../support/reserve_port';
import {listMalformedAddresses} from './malformed_addresses';

const PROGRAMS = path.resolve(__dirname, '../../build/platform/bin');
const LIMIT_MS = 90_000;
/** A program that starts all the same is ended. */
const START_MS = 10_000;
const USAGE_STATUS = 2;

interface Mistake {
  readonly role: 'entry' | 'control';
  readonly field: string;
  /** Left out without. */
  readonly value?: string;
}

let folder: string;
let ports: number[];

beforeEach(async () => {
  folder = mkdtempSync(path.join(tmpdir(), 'whinreel-settings-'));
  ports = await Promise.all([1, 2, 3, 4].map(() => reservePort()));
});

afterEach(() => rmSync(folder, {recursive: true, force: true}));

/** Each malformed address stands for one of the listen addresses in turn. */
function listMistakes(): Mistake[] {
  const places: Mistake[] = [
    {role: 'entry', field: 'listen.front'},
    {role: 'entry', field: 'listen.ready'},
    {role: 'control', field: 'listen.control'},
  ];
  const addresses = listMalformedAddresses(ports[0]).map((value, at) => ({
    ...places[at % places.length],
    value,
  }));
  return [
    ...addresses,
    ...places,
    {role: 'entry', field: 'node_name'},
    {role: 'control', field: 'node_name'},
    {role: 'control', field: 'data_dir'},
  ];
}

function formatSettings({field, value}: Mistake): string {
  const [internal, control, front, ready] = ports;
  const fields: Record<string, string> = {
    node_name: 'n',
    data_dir: path.join(folder, 'data'),
    'listen.front': `127.0.0.1:${front}`,
    'listen.ready': `127.0.0.1:${ready}`,
    'listen.control': `127.0.0.1:${control}`,
  };
  const texts = Object.entries(fields)
    .map(([name, text]) => ({name, text: name === field ? value : text}))
    .filter(({text}) => text !== undefined)
    .map(({name, text}) => `${name} = ${JSON.stringify(text)}`);
  return [
    ...texts,
    'ip = "127.0.0.1"',
    'zone = "z"',
    `internal_ports = [${internal},${internal}]`,
    `seeds = ["127.0.0.1:${control}"]`,
    'bootstrap = true',
    'heartbeat_ms = 300',
    'fault_tolerance.machines = 0',
    'bounds.grace_s = 8',
  ].join('\n');
}

/** Starts a program with one mistake; a sentence for what is wrong with its end, if anything. */
function checkEnd(mistake: Mistake): string[] {
  const {role, field, value = field} = mistake;
  const file = path.join(folder, 'boot.toml');
  writeFileSync(file, formatSettings(mistake));
  const {status, stdout} = spawnSync(
    process.execPath,
    [path.join(PROGRAMS, `${role}.js`)],
    {
      encoding: 'utf8',
      timeout: START_MS,
      killSignal: 'SIGKILL',
      env: {...process.env, WHINREEL_NODE_FILE: file},
    },
  );
  const lines = stdout.split('\n').filter(line => line !== '');
  const {
    event,
    reason = '',
    ...rest
  } = JSON.parse(lines[0] ?? '{}') as {
    event?: string;
    reason?: string;
    status?: number;
  };
  const isOneLine = lines.length === 1 && event === 'process-failed';
  const isUsage = status === USAGE_STATUS && rest.status === USAGE_STATUS;
  const isNamed = [file, field, value].every(text => reason.includes(text));
  return isOneLine && isUsage && isNamed
    ? []
    : [`${role}: ${field} = ${value}: status ${status}: ${stdout}`];
}

test(
  'a start without its own address, name or disk ends with one line that names file, field and value',
  () => {
    expect(listMistakes().flatMap(checkEnd)).toEqual([]);
  },
  LIMIT_MS,
);
