import {describe, expect, test} from 'vitest';
import {checkGatewayRules} from '../../src/protocol/check_gateway_rules';
import {GatewayRules} from '../../src/protocol/gateway_rules';

const ROUTE: GatewayRules['routes'][number] = {
  name: 'r',
  host: 'H.example',
  pathPrefix: '/a/',
  kind: 'safe',
  timeoutMs: 1_000,
  objectiveMs: 100,
  priority: 0,
  targets: [{pool: 'p', weight: 1}],
  maxAttempts: 1,
  isAnonymous: true,
  isResumable: false,
};
const RULES: GatewayRules = {
  version: 1,
  routes: [ROUTE],
  pools: [{name: 'p', maxConnections: 4}],
  limits: {
    maxHeaderBytes: 1,
    maxBodyBytes: 1,
    headerTimeoutMs: 1,
    idleTimeoutMs: 1,
  },
};

function check(changes: Partial<GatewayRules>) {
  return () => checkGatewayRules({...RULES, ...changes});
}

function route(changes: Partial<typeof ROUTE>) {
  return {routes: [{...ROUTE, ...changes}]};
}

describe('checkGatewayRules', () => {
  test('accepts routes with known pools', () => {
    expect(check({})).not.toThrow();
  });

  const duplicate = {...ROUTE, name: 'q', host: 'h.EXAMPLE'};
  const workspaces = [
    {name: 'w', keyHashes: ['d']},
    {name: 'x', keyHashes: ['d']},
  ];
  const invalid: Array<[string, Partial<GatewayRules>, string]> = [
    ['no pool', route({targets: []}), 'route r names no pool'],
    [
      'an unknown pool',
      route({targets: [{pool: 'u', weight: 1}]}),
      'route r names the unknown pool "u"',
    ],
    [
      'only weights of 0',
      route({targets: [{pool: 'p', weight: 0}]}),
      'the weights of route r add up to 0',
    ],
    [
      'two routes with the same host and path prefix',
      {routes: [ROUTE, duplicate]},
      'two routes stand at h.example /a/',
    ],
    ['a key that two workspaces share', {workspaces}, 'w and x share a key'],
  ];
  test.each(invalid)('rejects %s', (_, changes, reason) => {
    expect(check(changes)).toThrow(reason);
  });

  test('accepts a key that is listed twice in one workspace', () => {
    const twice = [{name: 'w', keyHashes: ['d', 'd']}];
    expect(check({workspaces: twice})).not.toThrow();
  });
});
