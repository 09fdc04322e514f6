/**
 * Guards against processes that do not start because one value of their settings file
 * is wrong: a single malformed seed beside three sound ones ended every process of
 * either role at its start, again and again.
 */
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import * as path from 'node:path';
import {isDeepStrictEqual} from 'node:util';
import * as fc from 'fast-check';
import {stringify} from 'smol-toml';
import {afterAll, describe, expect, test} from 'vitest';
import {ServerAddress} from '../../src/common/server_address';
import {UsageError} from '../../src/config/usage_error';
import {readSettings} from '../../platform/read_settings';
import {listMalformedAddresses} from '../faulty_input/malformed_addresses';

type Role = Parameters<typeof readSettings>[1];

const RUNS = 2_000;
const SEED = 71;
const MAX_TIMER_MS = 2 ** 31 - 1;
const folder = mkdtempSync(path.join(tmpdir(), 'whinreel-partly-wrong-'));
const file = path.join(folder, 'boot.toml');

afterAll(() => rmSync(folder, {recursive: true, force: true}));

const SOUND = {
  node_name: 'n',
  ip: '10.1.0.40',
  zone: 'z',
  internal_ports: [7_340, 7_355],
  seeds: ['10.1.0.42:8229', '10.2.0.31:8229', '10.3.0.20:8229'],
  bootstrap: true,
  data_dir: '/data',
  heartbeat_ms: 1_200,
  zones: {z: 'r'},
  listen: {
    front: '10.1.0.40:8227',
    ready: '10.1.0.40:8220',
    control: '10.1.0.40:8229',
  },
  limits: {memory_mb: 350, max_fds: 4_100},
  fault_tolerance: {machines: 1},
  bounds: {
    grace_s: 9,
    revoke_ms: 4_000,
    evac_ms: 4_000,
    config_apply_ms: 3_000,
    budget_ratio: 0.2,
    budget_window_s: 11,
    budget_slack: 202,
    stall_ms: 6_000,
  },
};
type Field = readonly string[];

/** Fields that a process of a role cannot do without. */
const REQUIRED: Record<Role, readonly string[]> = {
  entry: ['node_name', 'internal_ports', 'listen.front', 'listen.ready'],
  control: ['node_name', 'internal_ports', 'listen.control', 'data_dir'],
};

/** What stands in for each of the other fields. */
const SUBSTITUTES: ReadonlyArray<readonly [string, unknown]> = [
  ['ip', undefined],
  ['zone', undefined],
  ['zones', undefined],
  ['seeds', []],
  ['bootstrap', false],
  ['heartbeat_ms', 1_000],
  ['limits', undefined],
  ['limits.memory_mb', undefined],
  ['limits.max_fds', undefined],
  ['fault_tolerance', {}],
  ['fault_tolerance.machines', undefined],
  ['bounds.grace_s', 8],
  ['bounds.revoke_ms', 5_000],
  ['bounds.evac_ms', undefined],
  ['bounds.config_apply_ms', 2_000],
  ['bounds.budget_ratio', 0.1],
  ['bounds.budget_window_s', 10],
  ['bounds.budget_slack', 0],
  ['bounds.stall_ms', 5_000],
];
const ALL_FIELDS = [
  ...new Set([
    ...SUBSTITUTES.map(([name]) => name),
    ...REQUIRED.entry,
    ...REQUIRED.control,
    'listen',
    'bounds',
  ]),
];

function find(document: unknown, name: string): unknown {
  return name
    .split('.')
    .reduce<unknown>(
      (value, key) => (value as Record<string, unknown>)?.[key],
      document,
    );
}

function change(document: object, [name, value]: [string, unknown]): object {
  const copy = structuredClone(document) as Record<string, unknown>;
  const parts: Field = name.split('.');
  const holder = parts
    .slice(0, -1)
    .reduce<unknown>(
      (table, key) => (table as Record<string, unknown>)[key],
      copy,
    );
  const key = parts[parts.length - 1];
  const isTable = typeof holder === 'object' && !Array.isArray(holder);
  if (isTable && holder !== null) {
    (holder as Record<string, unknown>)[key] = value;
    if (value === undefined) {
      delete (holder as Record<string, unknown>)[key];
    }
  }
  return copy;
}

function read(
  document: object | string,
  role: Role,
  inForce?: ReturnType<typeof readSettings>['settings'],
) {
  const text = typeof document === 'string' ? document : stringify(document);
  writeFileSync(file, text);
  return readSettings({WHINREEL_NODE_FILE: file}, role, inForce);
}

describe.each(['entry', 'control'] as const)('a settings file of %s', role => {
  test('that is sound has no notices', () => {
    const {settings, notices, wrongFields} = read(SOUND, role);

    expect(settings).toEqual(SOUND);
    expect(notices).toEqual([]);
    expect(wrongFields.size).toBe(0);
  });

  test.each(listMalformedAddresses(8_229))(
    'with the seed %j keeps the other seeds',
    address => {
      const seeds = [SOUND.seeds[0], address, ...SOUND.seeds.slice(1)];
      const {settings, notices, wrongFields} = read({...SOUND, seeds}, role);

      expect(settings).toEqual(SOUND);
      expect(notices).toHaveLength(1);
      expect(notices[0]).toContain(`${file}: seeds.1 is `);
      expect(notices[0]).toContain(address);
      expect([...wrongFields]).toEqual(['seeds']);
    },
  );

  test.each(SUBSTITUTES)('with a wrong %s starts without it', (name, used) => {
    const {settings, notices} = read(change(SOUND, [name, 'odd']), role);
    const isText = name === 'zone';

    expect(find(settings, name)).toEqual(isText ? 'odd' : used);
    expect(notices).toHaveLength(isText ? 0 : 1);
    expect(notices[0] ?? '').toContain(isText ? '' : `${file}: ${name} is `);
    expect(notices[0] ?? '').toContain(isText ? '' : '"odd"');
  });

  test.each(REQUIRED[role])('with a wrong %s is refused', name => {
    const attempt = () => read(change(SOUND, [name, 5]), role);

    expect(attempt).toThrow(UsageError);
    expect(attempt).toThrow(`${file}: ${name} is 5: `);
    expect(() => read(change(SOUND, [name, undefined]), role)).toThrow(
      `${file}: ${name} is missing`,
    );
  });

  test('that is no TOML is refused', () => {
    expect(() => read('zone = ', role)).toThrow(UsageError);
  });

  test('is usable or refused, whatever one or two of its fields hold', () => {
    const odd = fc.oneof(
      fc.constantFrom<unknown>(
        undefined,
        0,
        -1,
        0.5,
        Infinity,
        -Infinity,
        NaN,
        1e300,
        MAX_TIMER_MS + 1,
        10 ** 9,
        65_536,
        true,
        '',
        '5',
        'x'.repeat(5_000),
        'a\nb\u2028\u0000',
        [],
        [1, 'x'],
        {},
        {a: 1},
        new Date(0),
        10n ** 18n,
        ...listMalformedAddresses(80),
        listMalformedAddresses(80),
        [...SOUND.seeds, 5],
      ),
      fc.string(),
      fc.double(),
      fc.array(fc.string(), {maxLength: 4}),
    );
    const fields = fc.array(fc.tuple(fc.constantFrom(...ALL_FIELDS), odd), {
      minLength: 1,
      maxLength: 2,
    });
    fc.assert(
      fc.property(fields, changes => {
        checkReading(changes.reduce<object>(change, SOUND), changes, role);
      }),
      {seed: SEED, numRuns: RUNS},
    );
  });
});

function checkReading(
  document: object,
  changes: ReadonlyArray<[string, unknown]>,
  role: Role,
): void {
  const names = changes.map(([name]) => name);
  let reading: ReturnType<typeof readSettings>;
  try {
    reading = read(document, role);
  } catch (error) {
    const {message} = error as Error;
    expect(error).toBeInstanceOf(UsageError);
    expect(message).not.toContain('\n');
    expect(message.length).toBeLessThan(400);
    // The whole table of a required field may be wrong.
    const named = REQUIRED[role]
      .flatMap(name => [name, name.split('.')[0]])
      .filter(name =>
        [' is missing', ' is '].some(verb =>
          message.startsWith(`${file}: ${name}${verb}`),
        ),
      );
    expect(named).not.toEqual([]);
    const isChanged = named.some(name =>
      names.some(each => each.startsWith(name) || name.startsWith(`${each}.`)),
    );
    expect(isChanged).toBe(true);
    return;
  }
  const {settings, notices, wrongFields} = reading;
  listNumbers(settings).forEach(number => {
    expect(Number.isFinite(number)).toBe(true);
    expect(number).toBeGreaterThanOrEqual(0);
    expect(number).toBeLessThanOrEqual(MAX_TIMER_MS);
  });
  expect(settings.bounds.grace_s * 1_000).toBeLessThanOrEqual(MAX_TIMER_MS);
  expect(settings.bounds.revoke_ms).toBeGreaterThan(0);
  settings.seeds.forEach(seed =>
    expect(ServerAddress.find(seed)).toBeDefined(),
  );
  const isOther = (name: string) =>
    !names.some(each => name.startsWith(each) || each.startsWith(name));
  for (const name of ALL_FIELDS.filter(isOther)) {
    expect(find(settings, name)).toEqual(find(SOUND, name));
  }
  const isNoted = (name: string) =>
    notices.some(notice => notice.startsWith(`${file}: ${name}`));
  for (const name of names) {
    const held = find(document, name);
    const isTable = typeof held === 'object' && !Array.isArray(held);
    const isKept = isDeepStrictEqual(find(settings, name), held);
    expect(isKept || isTable || held === undefined || isNoted(name)).toBe(true);
  }
  const wrongEntries = Array.isArray(find(document, 'seeds'))
    ? (find(document, 'seeds') as unknown[]).length
    : 0;
  expect(wrongFields.size).toBeLessThanOrEqual(2);
  expect(notices.length).toBeLessThanOrEqual(2 + wrongEntries);
  notices.forEach(notice => {
    expect(notice).toMatch(/; .* (is used|is left out)$/);
    expect(notice.length).toBeLessThan(600);
    expect(notice).not.toContain('\n');
  });
}

function listNumbers(value: unknown): number[] {
  if (typeof value === 'number') {
    return [value];
  }
  return typeof value === 'object' && value !== null
    ? Object.values(value).flatMap(listNumbers)
    : [];
}

describe('a settings file that is read again', () => {
  const inForce = read(SOUND, 'control').settings;

  test('gives its sound values, and those in force stay for the wrong ones', () => {
    const document = {
      ...SOUND,
      node_name: 5,
      listen: 'odd',
      seeds: ['10.9.0.1:8229', '10.9.0.2'],
      zones: {a: 'r'},
      bounds: {...SOUND.bounds, revoke_ms: 0},
    };
    const {settings, notices} = read(document, 'control', inForce);

    expect(settings).toEqual({
      ...SOUND,
      seeds: ['10.9.0.1:8229'],
      zones: {a: 'r'},
    });
    expect(notices).toHaveLength(4);
  });

  test.each([[['10.9.0.2']], [[]], ['odd'], [undefined]])(
    'with the seeds %j leaves the seeds as they are',
    seeds => {
      const {settings, wrongFields} = read(
        change(SOUND, ['seeds', seeds]),
        'control',
        inForce,
      );

      expect(settings).toEqual(SOUND);
      expect([...wrongFields]).toEqual(['seeds']);
    },
  );

  test('with numbers that no timer or computer holds costs only these', () => {
    const text = stringify(SOUND)
      .replace('heartbeat_ms = 1200', 'heartbeat_ms = 1e309')
      .replace('grace_s = 9', 'grace_s = 99999999999999999999999')
      .replace('machines = 1', 'machines = "1"');
    const {settings, notices} = read(text, 'control', inForce);

    expect(settings).toEqual(SOUND);
    expect(notices).toHaveLength(3);
  });
});
