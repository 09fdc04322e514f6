import {afterAll, beforeAll, expect, test} from 'vitest';
import {Bundle} from '../../src/protocol/bundle';
import {computeDigest} from '../../src/protocol/compute_digest';
import {call} from '../support/caller';
import {TestFleet} from '../support/test_fleet';

const KEY = 'key-of-hotel';
const BUNDLE: Bundle = Bundle.parse({
  operator: 'test',
  version: 1,
  models: [{name: 'assistant', replicas: 1, hostsPerReplica: 2}],
  services: [
    {
      name: 'dispatch',
      replicas: 1,
      notRepeatable: [{method: 'POST', pathPrefix: '/invoices'}],
    },
  ],
  workspaces: [
    {name: 'hotel', keyHashes: [computeDigest(KEY)], maxInFlight: 8},
  ],
});

let fleet: TestFleet;

beforeAll(async () => {
  fleet = await TestFleet.create({
    entries: 2,
    hosts: [
      {hostId: 'h1', domain: 'd1', kind: 'model', name: 'assistant'},
      {hostId: 'h2', domain: 'd1', kind: 'model', name: 'assistant'},
      {hostId: 's1', domain: 'd2', kind: 'service', name: 'dispatch'},
    ],
  });
  await fleet.rollOut(BUNDLE);
  await fleet.waitForServing(2);
  await fleet.waitForReady();
});

afterAll(() => fleet?.close());

function send(
  path: string,
  init: RequestInit = {},
  entryId = 'entry-1',
): Promise<Response> {
  const headers = {authorization: `Bearer ${KEY}`, ...init.headers};
  return fetch(`${fleet.getEntryUrl(entryId)}${path}`, {...init, headers});
}

function complete(body: object): Promise<Response> {
  return send('/v1/chat/completions', {
    method: 'POST',
    body: JSON.stringify(body),
  });
}

test('a streamed answer arrives whole, with its end mark', async () => {
  const response = await complete({
    model: 'assistant',
    stream: true,
    max_tokens: 40,
  });
  const text = await response.text();

  expect(response.status).toBe(200);
  expect(response.headers.get('content-type')).toBe('text/event-stream');
  expect(
    [...text.matchAll(/"content":"(t\d+) "/g)].map(match => match[1]),
  ).toEqual(Array.from({length: 40}, (_, at) => `t${at}`));
  expect(text.endsWith('data: [DONE]\n\n')).toBe(true);
});

test('a whole answer names its outcome', async () => {
  const response = await complete({model: 'assistant', max_tokens: 3});

  expect(response.headers.get('whinreel-outcome')).toBe('answered');
  expect(await response.json()).toEqual({
    choices: [{index: 0, message: {role: 'assistant', content: 't0 t1 t2'}}],
  });
});

test('a plain service is reached with method, path and body', async () => {
  const response = await send('/services/dispatch/pickups?day=1', {
    method: 'PUT',
    body: 'van',
  });

  expect(await response.json()).toEqual({
    path: '/pickups?day=1',
    method: 'PUT',
    received: 'van',
  });
});

test('a call that is not repeatable runs once, also when another entry gets it again', async () => {
  const call = {
    method: 'POST',
    body: 'invoice 7',
    headers: {'idempotency-key': 'invoice-7'},
  };
  const first = await send('/services/dispatch/invoices', call, 'entry-1');
  const second = await send('/services/dispatch/invoices', call, 'entry-2');

  expect([first.status, first.headers.get('whinreel-outcome')]).toEqual([
    200,
    'answered',
  ]);
  expect([second.status, second.headers.get('whinreel-outcome')]).toEqual([
    409,
    'answered',
  ]);
  expect(fleet.findEngine('s1').runsByBody.get('invoice 7')).toBe(1);
});

test('one key with two different bodies is refused', async () => {
  const headers = {'idempotency-key': 'invoice-8'};
  await send('/services/dispatch/invoices', {
    method: 'POST',
    body: 'first',
    headers,
  });
  const other = await send('/services/dispatch/invoices', {
    method: 'POST',
    body: 'other',
    headers,
  });

  expect([other.status, other.headers.get('whinreel-outcome')]).toEqual([
    422,
    'not-run',
  ]);
  expect(fleet.findEngine('s1').runsByBody.get('other')).toBeUndefined();
});

test('wrong requests get a problem document and never run', async () => {
  const before = fleet.findEngine('h1').totalRuns;
  const unknownKey = await fetch(`${fleet.getEntryUrl()}/v1/chat/completions`, {
    method: 'POST',
  });
  const unknownModel = await complete({model: 'nobody'});
  const noJson = await send('/v1/chat/completions', {
    method: 'POST',
    body: '{',
  });
  const unknownPath = await send('/v2');

  expect(
    [unknownKey, unknownModel, noJson, unknownPath].map(({status}) => status),
  ).toEqual([401, 404, 400, 404]);
  expect(await unknownModel.json()).toEqual({
    type: 'about:blank',
    title: 'Unknown model',
    status: 404,
    detail: '"model" must be one of: assistant',
    outcome: 'not-run',
  });
  expect(fleet.findEngine('h1').totalRuns).toBe(before);
});

test('an engine that ends early without its mark gives an error event, never a normal end', async () => {
  const engine = fleet.findEngine('h1');
  engine.breakAfterTokens = 3;
  const response = await complete({
    model: 'assistant',
    stream: true,
    max_tokens: 10,
  });
  const text = await response.text();
  engine.breakAfterTokens = undefined;

  expect(text).toContain('event: error\n');
  expect(text).toContain('"outcome":"failed"');
  expect(text).not.toContain('[DONE]');
});

test('a body is read only for a known key, and only up to the limit', async () => {
  const url = `${fleet.getEntryUrl()}/v1/chat/completions`;
  const body = 'x'.repeat(5 * 1024 * 1024);
  const stranger = await call({url, method: 'POST', headers: {}, body});
  const known = await call({
    url,
    method: 'POST',
    headers: {authorization: `Bearer ${KEY}`},
    body,
  });

  expect([stranger.status, known.status]).toEqual([401, 413]);
  expect([stranger.outcome, known.outcome]).toEqual(['not-run', 'not-run']);
});
