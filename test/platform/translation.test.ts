/** Checks the translation between the formats of the platform and the rules, registrations and settings of the system. */
import {writeFileSync, mkdtempSync} from 'node:fs';
import {tmpdir} from 'node:os';
import * as path from 'node:path';
import {describe, expect, test} from 'vitest';
import {decodeConfiguration} from '../../platform/decode_configuration';
import {decodeRegistration} from '../../platform/decode_registration';
import {PlatformError} from '../../platform/platform_error';
import {readSettings} from '../../platform/read_settings';
import {listMalformedAddresses} from '../faulty_input/malformed_addresses';

const ROUTE = {
  name: 'r',
  host: 'H.example',
  path_prefix: '/a/',
  route_type: 'stream',
  timeout_ms: 8000,
  target_latency_ms: 400,
  priority: 1,
  service: 's',
  max_attempts: 2,
  allow_anonymous: false,
  resumable: true,
  gap_aim_ms: 300,
};
const CONFIGURATION = {
  version: 3,
  routes: [ROUTE],
  services: [{name: 's', max_connections: 10}, {name: 't'}],
  limits: {
    max_header_bytes: 1,
    max_body_bytes: 1,
    header_timeout_ms: 1,
    idle_timeout_ms: 1,
  },
  tenants: [{name: 'w', api_keys: ['k']}],
};

function decode(changes: object) {
  return decodeConfiguration(JSON.stringify({...CONFIGURATION, ...changes}));
}

describe('the operator’s configuration', () => {
  test('is translated into rules, and API keys into digests', () => {
    const rules = decode({});
    expect(rules.routes[0]).toMatchObject({
      kind: 'stream',
      objectiveMs: 400,
      pauseObjectiveMs: 300,
      targets: [{pool: 's', weight: 1}],
      isResumable: true,
    });
    expect(JSON.stringify(rules)).not.toContain('"k"');
  });

  test('without tenants has no workspaces, and with an empty list an empty one', () => {
    expect(decode({tenants: undefined}).workspaces).toBeUndefined();
    expect(decode({tenants: []}).workspaces).toEqual([]);
  });

  // Guards against a limit where none is configured, and a field in every message.
  test('limits cold servers only where it has a rate for them', () => {
    const {pools} = decode({
      services: [
        {name: 's', cold_per_s: 4.5, cold_start_s: 12},
        {name: 't', cold_per_s: 0, cold_start_s: 0},
        {name: 'u'},
      ],
    });
    expect(pools[0]).toMatchObject({
      coldRequestsPerSecond: 4.5,
      coldStartMs: 12_000,
    });
    for (const pool of pools.slice(1)) {
      expect(pool).not.toHaveProperty('coldRequestsPerSecond');
      expect(pool).not.toHaveProperty('coldStartMs');
    }
  });

  test('may split a route by weight', () => {
    const split = [
      {service: 's', weight: 90},
      {service: 't', weight: 10},
    ];
    const routes = [{...ROUTE, service: undefined, traffic_split: split}];
    expect(decode({routes}).routes[0].targets).toEqual([
      {pool: 's', weight: 90},
      {pool: 't', weight: 10},
    ]);
  });

  const conflicting = [ROUTE, {...ROUTE, name: 'q', host: 'h.example'}];
  const zeroWeights = [{...ROUTE, traffic_split: [{service: 's', weight: 0}]}];
  const sharedKey = [
    {name: 'w', api_keys: ['k']},
    {name: 'x', api_keys: ['k']},
  ];
  const invalid: Array<[string, object, string]> = [
    [
      'an unknown service',
      {routes: [{...ROUTE, service: 'u'}]},
      'unknown pool "u"',
    ],
    [
      'a route that names no service',
      {routes: [{...ROUTE, service: undefined}]},
      'route r names no pool',
    ],
    [
      'two routes with the same host and path',
      {routes: conflicting},
      'two routes',
    ],
    ['weights that add up to 0', {routes: zeroWeights}, 'add up to 0'],
    ['a timeout of 0', {routes: [{...ROUTE, timeout_ms: 0}]}, 'timeout_ms'],
    ['a key of two workspaces', {tenants: sharedKey}, 'share a key'],
    ['no version', {version: undefined}, 'version'],
  ];
  test.each(invalid)(
    'with %s is refused with a reason',
    (_, changes, reason) => {
      expect(() => decode(changes)).toThrow(reason);
    },
  );

  test('that is truncated is refused', () => {
    const text = JSON.stringify(CONFIGURATION).slice(0, -5);
    expect(() => decodeConfiguration(text)).toThrow('no JSON');
  });
});

describe('a registration', () => {
  const wire = {
    service: 's',
    address: '10.0.0.1:80',
    zone: 'z',
    version: 'v1',
    slots: 34,
    state: 'ready',
    cold_remaining_ms: 0,
    models: [{name: 'm', version: 1, adapters: []}],
    sequence: 4,
    domain: 'd0',
    staged: ['m'],
    group: {name: 'g', epoch: 3, rank: 1, state: 'ready'},
  };

  test('is translated into a registration message', () => {
    expect(decodeRegistration('i', JSON.stringify(wire))).toEqual({
      name: 'i',
      incarnation: 'i',
      pool: 's',
      address: '10.0.0.1:80',
      zone: 'z',
      isLeaving: false,
      sequence: 4,
      slots: 34,
      domain: 'd0',
      model: 'm',
      stagedModels: ['m'],
      group: {name: 'g', epoch: 3, rank: 1, state: 'ready'},
      coldForMs: 0,
    });
  });

  // Guards against a backend server to which no gateway can connect: each attempt at
  // it threw out of a callback of the HTTP library, which ended the gateway.
  test.each(listMalformedAddresses(8_080))(
    'with the address %j is refused with the name of the field',
    address => {
      const text = JSON.stringify({...wire, address});
      const decode = () => decodeRegistration('i', text);
      expect(decode).toThrow(PlatformError);
      expect(decode).toThrow(
        `address: ${JSON.stringify(address)} is no address like 10.0.0.1:8080: `,
      );
    },
  );

  test('with an endless address is refused with a short error', () => {
    const text = JSON.stringify({...wire, address: 'a'.repeat(100_000)});
    let message = '';
    try {
      decodeRegistration('i', text);
    } catch (error) {
      ({message} = error as Error);
    }
    expect(message).toMatch(
      /^the registration is refused: address: "a{100}" is no address/,
    );
    expect(message.length).toBeLessThan(200);
  });

  test.each([
    ['[::FFFF:10.0.0.1]:80', '[::ffff:a00:1]:80'],
    ['Node-1.Rack:80', 'node-1.rack:80'],
  ])('with the address %s has its canonical form %s', (address, canonical) => {
    const text = JSON.stringify({...wire, address});
    expect(decodeRegistration('i', text).address).toBe(canonical);
  });

  // Guards against a cold server taken for a warm one, and against a server
  // that says nothing taken for one that says that it is warm.
  test.each([
    [4_250.5, 4_250.5],
    [-3, 0],
    [null, undefined],
    [undefined, undefined],
  ])('with %s ms left of being cold is decoded', (remainingMs, expected) => {
    const text = JSON.stringify({...wire, cold_remaining_ms: remainingMs});
    expect(decodeRegistration('i', text).coldForMs).toBe(expected);
  });

  test('of a plain service has neither domain nor group', () => {
    const plain = {...wire, domain: null, group: null, models: [], staged: []};
    const registration = decodeRegistration('i', JSON.stringify(plain));
    expect(registration.domain).toBeUndefined();
    expect(registration.group).toBeUndefined();
  });

  test('without a state is refused with the name of the field', () => {
    const text = JSON.stringify({...wire, state: undefined});
    expect(() => decodeRegistration('i', text)).toThrow('state');
  });
});

describe('the settings file', () => {
  const text = `
node_name = "front-1"
ip = "10.1.0.40"
zone = "z"
internal_ports = [7340,7355]
seeds = ["10.1.0.42:8229"]
bootstrap = true
heartbeat_ms = 1200
new_field = 3
[listen]
front = "10.1.0.40:8227"
ready = "10.1.0.40:8220"
[fault_tolerance]
machines = 2
[bounds]
grace_s = 8
`;

  function read(content: string) {
    const folder = mkdtempSync(path.join(tmpdir(), 'whinreel-settings-'));
    const file = path.join(folder, 'boot.toml');
    writeFileSync(file, content);
    return readSettings({WHINREEL_NODE_FILE: file}, 'entry').settings;
  }

  test('is read, and unknown fields are ignored', () => {
    expect(read(text)).toMatchObject({node_name: 'front-1', bootstrap: true});
  });

  test.each([
    ['no name', text.replace('node_name = "front-1"', ''), 'node_name'],
    ['an invalid port', text.replace('[7340', '[0'), 'internal_ports'],
    ['invalid TOML', 'zone = ', 'cannot read'],
  ])('with %s is refused with an error of one line', (_, content, reason) => {
    expect(() => read(content)).toThrow(reason);
    try {
      read(content);
    } catch (error) {
      expect((error as Error).message).not.toContain('\n');
    }
  });

  // Callers could take every descriptor of a machine whose limit the process does not know.
  test('tells the limits of memory and descriptors, where there are any', () => {
    expect(read(text).limits).toBeUndefined();
    const limited = read(`${text}[limits]\nmemory_mb = 350\nmax_fds = 4100\n`);
    expect(limited.limits).toEqual({memory_mb: 350, max_fds: 4_100});
    expect(read(`${text}[limits]\nmemory_mb = 350\n`).limits).toEqual({
      memory_mb: 350,
    });
  });

  test('must be named by the environment', () => {
    expect(() => readSettings({}, 'entry')).toThrow('WHINREEL_NODE_FILE');
  });
});
