/**
 * Checks with drawn inputs that whatever a door accepts can be used: it survives each
 * message that carries it, its names fit into headers, its durations into timers, and
 * what is computed from it is finite.
 */
import * as http from 'node:http';
import {IncomingMessage} from 'node:http';
import fc from 'fast-check';
import {describe, expect, test} from 'vitest';
import {decodeConfiguration} from '../../platform/decode_configuration';
import {decodeRegistration} from '../../platform/decode_registration';
import {engineIdentity} from '../../platform/engine_identity';
import {platformHttpDialect} from '../../platform/platform_http_dialect';
import {GatewayRequest} from '../../src/gateway/gateway_request';
import {createPartName} from '../../src/gateway/crashes/create_part_name';
import {computeTimeoutMs} from '../../src/gateway/compute_timeout_ms';
import {computeStallTimeoutMs} from '../../src/gateway/responses/compute_stall_timeout_ms';
import {RouteIndex} from '../../src/gateway/routing/route_index';
import {DemandMeter} from '../../src/gateway/scheduling/demand_meter';
import {PermitIssuer} from '../../src/coordination/limits/permit_issuer';
import {estimateRequestWork} from '../../src/coordination/scheduling/estimate_request_work';
import {GatewayRules} from '../../src/protocol/gateway_rules';
import {Message} from '../../src/protocol/message';
import {messageCodec} from '../../src/protocol/message_codec';
import {rulesCodec} from '../../src/protocol/rules_codec';
import {drawOddBodies} from '../support/draw_odd_values';
import {PROFILE} from '../support/engine_plan';
import {pageExamples} from '../support/page_examples';

const SEED = 20_261_208;
const RUNS = 4_000;
const MAX_TIMER_MS = 2 ** 31 - 1;
const ID = 'i-7f3a91c2';
const GROUP = {name: 'g7', epoch: 12, rank: 0, state: 'ready'};

/** Returns undefined for what the door refuses. */
function accept<T>(decode: () => T): T | undefined {
  try {
    return decode();
  } catch {
    return undefined;
  }
}

/** CBOR writes -0 as 0, which no door refuses and no decision tells apart. */
function replaceNegativeZero(value: unknown): unknown {
  if (Array.isArray(value)) {
    return value.map(replaceNegativeZero);
  }
  if (typeof value !== 'object' || value === null) {
    return value === 0 ? 0 : value;
  }
  return Object.fromEntries(
    Object.entries(value).map(([key, each]) => [
      key,
      replaceNegativeZero(each),
    ]),
  );
}

function checkSurvives(message: Message): void {
  expect(messageCodec.decode(messageCodec.encode(message))).toEqual(
    replaceNegativeZero(message),
  );
}

function checkHeader(value: string): void {
  expect(() => http.validateHeaderValue('x', value)).not.toThrow();
  expect(value).toBe(value.trim());
}

function checkTimer(ms: number): void {
  expect(ms).toBeGreaterThanOrEqual(0);
  expect(ms).toBeLessThanOrEqual(MAX_TIMER_MS);
}

function checkFinite(value: number): void {
  expect(Number.isFinite(value)).toBe(true);
}

/** The interval between two permits to send to a cold server goes into an answer to gateways. */
function checkColdLimit(perSecond: number): void {
  const now = 0;
  const leadingSince = 0;
  const options = {kind: 'cold' as const, perSecond, now, leadingSince};
  const {pauseMs, intervalMs} = PermitIssuer.create(options).acquire('g', now);
  const verdict = {kind: 'later' as const, pauseMs, intervalMs};
  checkSurvives({type: 'permit-answer', call: 1, verdict});
}

function checkPool(pool: GatewayRules['pools'][number]): void {
  const {engine, coldRequestsPerSecond, coldStartMs = 0} = pool;
  checkTimer(coldStartMs);
  if (coldRequestsPerSecond !== undefined) {
    checkColdLimit(coldRequestsPerSecond);
  }
  for (const {name, loadMs, warmMs} of engine?.models ?? []) {
    checkHeader(name);
    checkTimer(loadMs);
    checkTimer(warmMs);
    checkFinite(computeStallTimeoutMs(engine, name));
    const work = {model: name, promptTokens: 1e9, answerTokens: 1e9};
    checkFinite(estimateRequestWork({engine: engine!, ...work}));
  }
}

function checkRules(rules: GatewayRules, source: string): void {
  expect(rulesCodec.decode(rulesCodec.encode(rules))).toEqual(
    replaceNegativeZero(rules),
  );
  const bundle = {channel: 'c', source, rules};
  checkSurvives({type: 'channel-bundle-ask', call: 1, bundle});
  const command = {type: 'accept-channel-bundle' as const, time: 0, bundle};
  checkSurvives({
    type: 'append-ask',
    term: 1,
    previousIndex: 0,
    previousTerm: 0,
    entries: [{index: 1, term: 1, command}],
    commitIndex: 0,
    round: 1,
  });
  RouteIndex.create(rules);
  for (const route of rules.routes) {
    checkTimer(route.timeoutMs);
    checkTimer(computeTimeoutMs({}, route));
    checkFinite(platformHttpDialect.computeMaxPauseMs(route));
    checkFinite(route.targets.reduce((sum, {weight}) => sum + weight, 0));
  }
  rules.workspaces?.forEach(({name}) => checkHeader(name));
  rules.pools.forEach(checkPool);
  rules.pools.forEach(({name}) =>
    checkSurvives({
      type: 'retry-loan-ask',
      call: 1,
      gatewayId: 'g',
      pool: name,
      wanted: 1,
    }),
  );
  checkTimer(rules.limits.idleTimeoutMs);
  checkTimer(rules.limits.headerTimeoutMs);
}

function checkRegistration(body: string, id: string): boolean {
  const registration = accept(() => decodeRegistration(id, body));
  if (!registration) {
    return false;
  }
  checkSurvives({type: 'registration-ask', call: 1, registration});
  const {incarnation, name, pool, address, zone, slots} = registration;
  const {model, coldForMs, group, stagedModels} = registration;
  checkHeader(engineIdentity.getId(incarnation));
  checkTimer(coldForMs ?? 0);
  [model, group?.name, ...stagedModels].forEach(each =>
    checkHeader(each ?? ''),
  );
  checkSurvives({
    type: 'gateway-answer',
    call: 1,
    rulesVersion: 0,
    tableTag: '',
    targets: [
      {incarnation, name, pool, address, zone, slots, model, coldForMs},
    ],
    isComplete: true,
    runningElsewhere: {[incarnation]: 1},
    gateways: 1,
    control: [],
  });
  checkSurvives({
    type: 'ends-ask',
    call: 1,
    gatewayId: 'g',
    crashes: [{incarnation, notBegun: [], begun: []}],
    released: [],
    cleared: [],
  });
  return true;
}

function readRequest(drawn: Record<string, string>) {
  const headers = {...pageExamples.request, ...drawn};
  const rawHeaders = Object.entries(headers).flat();
  const message = {headers, rawHeaders, method: 'POST', url: '/lohu930/2f'};
  return platformHttpDialect.readRequest(message as unknown as IncomingMessage);
}

function checkRequest(request: GatewayRequest): void {
  const {model, promptTokens, promptParts = [], waitMs = 0} = request;
  checkTimer(waitMs);
  const profile = {
    ...PROFILE,
    models: [{...PROFILE.models[0], name: model ?? 'big'}],
  };
  const meter = DemandMeter.create({now: () => 0});
  for (let count = 0; count < 3; count += 1) {
    meter.recordArrival({model: model ?? 'big', promptTokens}, profile);
  }
  const names = promptParts.map(id => createPartName(id, model ?? ''));
  checkSurvives({
    type: 'gateway-ask',
    call: 1,
    gatewayId: 'g',
    rulesVersion: 0,
    tableTag: '',
    stalled: [],
    answering: [],
    running: {},
    pressed: model === undefined ? [] : [model],
    hasServed: true,
    isUrgent: false,
    demand: meter.describe(),
    queues: [{pool: 'p', model: model ?? '', levels: []}],
  });
  names
    .slice(-20)
    .forEach(name =>
      checkSurvives({type: 'trial-ask', call: 1, name, incarnation: ID}),
    );
  const dispatch = {incarnation: ID, workspace: 'w', remainingMs: waitMs};
  const headers = platformHttpDialect.createHeaders(request, dispatch);
  headers.forEach((value, at) => at % 2 === 1 && checkHeader(value));
}

describe('with drawn values', () => {
  test('an accepted configuration survives its messages, and its values can be used', () => {
    let accepted = 0;
    const added = [
      ['services', '0', 'cold_per_s'],
      ['services', '0', 'cold_start_s'],
      ['tenants', '0', 'priority'],
    ];
    fc.assert(
      fc.property(drawOddBodies(pageExamples.configuration, added), text => {
        const rules = accept(() => decodeConfiguration(text));
        if (rules) {
          accepted += 1;
          checkRules(rules, text);
        }
      }),
      {numRuns: RUNS, seed: SEED},
    );
    expect(accepted).toBeGreaterThan(RUNS / 20);
  });

  test('an accepted registration survives its messages, and its server can be named', () => {
    let accepted = 0;
    const example = {...pageExamples.registration, group: GROUP};
    const added = [['born'], ['domain'], ['staged'], ['staged', '0']];
    const ids = fc.oneof(
      {weight: 3, arbitrary: fc.constant(ID)},
      {weight: 1, arbitrary: fc.constantFrom('__proto__', 'constructor')},
      {weight: 1, arbitrary: fc.string({unit: 'binary', maxLength: 250})},
    );
    fc.assert(
      fc.property(drawOddBodies(example, added), ids, (body, id) => {
        accepted += checkRegistration(body, id) ? 1 : 0;
      }),
      {numRuns: RUNS, seed: SEED},
    );
    expect(accepted).toBeGreaterThan(RUNS / 20);
  });

  test('a request leads to a report that survives and to headers that can be sent', () => {
    // What Node.js lets pass as the value of a header, without the blanks around it.
    const value = fc.oneof(
      fc.stringMatching(/^[\t -~\x80-\xff]{0,20}$/).map(text => text.trim()),
      fc.constantFrom(
        '1e309',
        '1e308,1',
        '0x10',
        '-1',
        '9'.repeat(400),
        '__proto__',
      ),
      fc.integer({min: 1, max: 3_000}).map(length => 'a:1,'.repeat(length)),
      fc.integer({min: 1, max: 3_000}).map(length => 'x'.repeat(length)),
      fc.nat().map(String),
    );
    const headers = fc.dictionary(
      fc.constantFrom(...Object.keys(pageExamples.request)),
      value,
      {minKeys: 1, maxKeys: 2},
    );
    fc.assert(
      fc.property(headers, drawn => {
        const request = readRequest(drawn);
        if (typeof request !== 'string') {
          checkRequest(request);
        }
      }),
      {numRuns: RUNS, seed: SEED},
    );
  });
});
