import {expect, test} from 'vitest';
import {explainRequest} from '../../src/operator/explain_request';

/** Creates a log line with a time `seconds` into the minute and a host name as its prefix. */
function createLine(
  seconds: number,
  event: string,
  id: string,
  details: Record<string, unknown> = {},
): string {
  const time = new Date(Date.UTC(2026, 0, 1, 0, 0, seconds)).toISOString();
  const program = 'p';
  const reason = 'r';
  return `m1 ${JSON.stringify({time, program, event, id, reason, ...details})}`;
}

const LOG = [
  createLine(1, 'set-engine-group', 'big-1', {members: 'a b'}),
  createLine(2, 'set-engine-group', 'low-1', {members: 'c d'}),
  createLine(20, 'end-engine-group', 'big-1'),
  createLine(21, 'backend-lost', 'b'),
  createLine(22, 'end-engine-group', 'low-1'),
  createLine(23, 'control-lost', 'e1'),
  createLine(24, 'request-failed', 'q1', {targets: 'a', model: 'big'}),
  createLine(25, 'request-refused', 'q2', {targets: '', model: 'low'}),
  createLine(30, 'end-engine-group', 'big-1'),
  'm1 {"ready":"whinreel-entry"}',
  'm1 {"event":"cut of',
].join('\n');

function describeLines(id: string): string[] {
  return explainRequest(LOG, id).map(
    ({event, id: about}) => `${event} ${about}`,
  );
}

test('a request that was sent is explained by earlier events of its group', () => {
  expect(describeLines('q1')).toEqual([
    'end-engine-group big-1',
    'request-failed q1',
  ]);
});

test('a request that was sent to no backend server is explained by events of control and of the groups of its model', () => {
  expect(describeLines('q2')).toEqual([
    'end-engine-group low-1',
    'control-lost e1',
    'request-refused q2',
  ]);
});

test('a request that no log line names has no explanation', () => {
  expect(describeLines('q3')).toEqual([]);
});

test('a request that was refused because of an evacuation is explained by the order, however old', () => {
  const line = (fields: object) => JSON.stringify({program: 'p', ...fields});
  const text = [
    line({
      time: '2026-12-01T08:00:00.000Z',
      event: 'zone-evacuated',
      subject: 'zone',
      id: 'zone-a',
      reason: 'ordered by operators',
    }),
    line({
      time: '2026-12-01T08:00:00.000Z',
      event: 'zone-evacuated',
      subject: 'zone',
      id: 'zone-b',
      reason: 'ordered by operators',
    }),
    line({
      time: '2026-12-01T09:00:00.000Z',
      event: 'request-refused',
      subject: 'request',
      id: 'q',
      reason:
        'no backend server can take it now; every zone that serves it is evacuated: zone-a',
    }),
  ].join('\n');
  expect(explainRequest(text, 'q').map(({id}) => id)).toEqual(['zone-a', 'q']);
});

test('a request that was denied a retry is explained by the decisions about the budget of its pool', () => {
  const log = [
    createLine(1, 'retry-denied', 'p1', {subject: 'pool'}),
    createLine(2, 'retry-denied', 'p2', {subject: 'pool'}),
    createLine(3, 'request-failed', 'q', {
      targets: 'a',
      reason: 'the retry budget of pool p1 is spent: 3 sent',
    }),
  ].join('\n');

  expect(explainRequest(log, 'q').map(({event, id}) => [event, id])).toEqual([
    ['retry-denied', 'p1'],
    ['request-failed', 'q'],
  ]);
});

test('a request that failed is explained by rejected responses of its backend server', () => {
  const log = [
    createLine(19, 'response-rejected', 'q0', {target: 'a'}),
    createLine(20, 'response-rejected', 'q3', {target: 'other'}),
    createLine(21, 'request-failed', 'q4', {targets: 'a'}),
  ].join('\n');
  expect(explainRequest(log, 'q4').map(({id}) => id)).toEqual(['q0', 'q4']);
});

test('a failed request is explained by what was received in place of its answer', () => {
  const received = 'status 503, id q0, request 2 on its connection';
  const log = createLine(21, 'request-failed', 'q4', {targets: 'a', received});
  expect(explainRequest(log, 'q4')[0].reason).toBe(`r (${received})`);
});
