/**
 * Guards against a first quorum of fewer processes than the settings intend: a process
 * with some of the seeds would form one of its own beside that of the others, and both
 * would acknowledge changes that the other does not have.
 */
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import * as path from 'node:path';
import {afterAll, describe, expect, test} from 'vitest';
import {ControlQuorum} from '../../platform/control_quorum';
import {readSettings} from '../../platform/read_settings';

const folder = mkdtempSync(path.join(tmpdir(), 'whinreel-control-quorum-'));
const file = path.join(folder, 'boot.toml');
const SEEDS = ['10.0.0.1:82', '10.0.0.2:82', '10.0.0.3:82'];
const INTERNAL = ['10.0.0.1:7340', '10.0.0.2:7340', '10.0.0.3:7340'];

afterAll(() => rmSync(folder, {recursive: true, force: true}));

type Reading = ReturnType<typeof readSettings>;

function read(
  changes: {seeds?: unknown; bootstrap?: unknown; machines?: unknown} = {},
  inForce?: Reading['settings'],
): Reading {
  const {seeds = SEEDS, bootstrap = true, machines = 1} = changes;
  const lines = [
    'node_name = "n"',
    'ip = "10.0.0.1"',
    'zone = "z"',
    'internal_ports = [7340, 7355]',
    `seeds = ${JSON.stringify(seeds)}`,
    `bootstrap = ${JSON.stringify(bootstrap)}`,
    'data_dir = "/data"',
    'heartbeat_ms = 1200',
    'listen = {control = "10.0.0.1:82"}',
    `fault_tolerance = {machines = ${JSON.stringify(machines)}}`,
    'bounds = {grace_s = 8}',
  ];
  writeFileSync(file, lines.join('\n'));
  return readSettings({WHINREEL_NODE_FILE: file}, 'control', inForce);
}

describe('the first quorum', () => {
  test('is formed of the seeds of a sound file, and a later file changes nothing', () => {
    const quorum = ControlQuorum.create(read());
    quorum.update(read({seeds: SEEDS.slice(0, 1)}));

    expect(quorum).toMatchObject({
      seeds: INTERNAL,
      isFirstStart: true,
      voters: 3,
      minCopies: 2,
      isDeferred: false,
    });
  });

  test.each([
    ['a malformed seed', {seeds: [...SEEDS.slice(0, 2), '10.0.0.3']}],
    ['a malformed seed beside three', {seeds: [...SEEDS, '10.0.0.4']}],
    ['its own seed alone beside malformed ones', {seeds: [SEEDS[0], 'a', 5]}],
    ['only malformed seeds', {seeds: ['10.0.0.1', '10.0.0.2']}],
    ['seeds that are no list', {seeds: SEEDS[0]}],
    ['no seeds', {seeds: []}],
    ['one seed three times', {seeds: [SEEDS[0], SEEDS[0], SEEDS[0]]}],
    ['an unknown tolerance', {machines: 10 ** 9}],
    ['an unreadable bootstrap', {bootstrap: 'true'}],
  ])('with %s waits until the file is mended', (_, changes) => {
    const first = read(changes);
    const quorum = ControlQuorum.create(first);
    expect(quorum).toMatchObject({isFirstStart: false, isDeferred: true});
    quorum.update(read(changes, first.settings));
    expect(quorum).toMatchObject({isFirstStart: false, isDeferred: true});
    quorum.update(read({seeds: []}, first.settings));
    expect(quorum).toMatchObject({isFirstStart: false, isDeferred: true});
    // The seeds of a file that is not for a first start need not be those of the others.
    quorum.update(read({bootstrap: false}, first.settings));
    expect(quorum).toMatchObject({isFirstStart: false, isDeferred: true});

    quorum.update(read({}, first.settings));
    expect(quorum).toMatchObject({
      seeds: INTERNAL,
      isFirstStart: true,
      voters: 3,
      minCopies: 2,
      isDeferred: false,
    });
  });

  test('is never formed by a process that joins one, whatever later files say', () => {
    const quorum = ControlQuorum.create(read({bootstrap: false, seeds: []}));
    quorum.update(read());

    expect(quorum).toMatchObject({isFirstStart: false, isDeferred: false});
  });

  test('takes duplicates beside enough seeds', () => {
    const quorum = ControlQuorum.create(read({seeds: [...SEEDS, SEEDS[0]]}));

    expect(quorum).toMatchObject({seeds: INTERNAL, isFirstStart: true});
  });
});

test('the size of the quorum that a wrong file did not tell comes from a later one', () => {
  const first = read({bootstrap: false, machines: -1});
  const quorum = ControlQuorum.create(first);
  expect(quorum).toMatchObject({voters: undefined, minCopies: undefined});
  quorum.update(read({bootstrap: false, machines: 2}, first.settings));
  expect(quorum).toMatchObject({voters: 5, minCopies: 3});
  quorum.update(read({bootstrap: false, machines: 1}, first.settings));

  expect(quorum).toMatchObject({voters: 5, minCopies: 3});
});
