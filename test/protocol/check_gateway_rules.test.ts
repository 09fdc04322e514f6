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

describe('the rules of the gateway', () => {
  test('pass when every route leads to a pool', () => {
    expect(check({})).not.toThrow();
  });

  const beside = {...ROUTE, name: 'q', host: 'h.EXAMPLE'};
  const workspaces = [
    {name: 'w', keyHashes: ['d']},
    {name: 'x', keyHashes: ['d']},
  ];
  const wrong: Array<[string, Partial<GatewayRules>, string]> = [
    ['no pool at all', route({targets: []}), 'route r names no pool'],
    [
      'an unknown pool',
      route({targets: [{pool: 'u', weight: 1}]}),
      'route r names the unknown pool "u"',
    ],
    [
      'weights of 0 only',
      route({targets: [{pool: 'p', weight: 0}]}),
      'the weights of route r add up to 0',
    ],
    [
      'two routes at one place',
      {routes: [ROUTE, beside]},
      'two routes stand at h.example /a/',
    ],
    ['a key of two workspaces', {workspaces}, 'w and x share a key'],
  ];
  test.each(wrong)('are refused with %s', (_, changes, reason) => {
    expect(check(changes)).toThrow(reason);
  });

  test('may name a key twice in one workspace', () => {
    const twice = [{name: 'w', keyHashes: ['d', 'd']}];
    expect(check({workspaces: twice})).not.toThrow();
  });
});
