import {expect, test} from 'vitest';
import {explainRequest} from '../../src/operator/explain_request';

/** A line of a log, `at` seconds into the minute. */
function line(
  at: number,
  event: string,
  id: string,
  details: Record<string, unknown> = {},
): string {
  const time = new Date(Date.UTC(2026, 0, 1, 0, 0, at)).toISOString();
  const program = 'p';
  const reason = 'r';
  return `m1 ${JSON.stringify({time, program, event, id, reason, ...details})}`;
}

const LOG = [
  line(1, 'set-engine-group', 'big-1', {members: 'a b'}),
  line(2, 'set-engine-group', 'low-1', {members: 'c d'}),
  line(20, 'end-engine-group', 'big-1'),
  line(21, 'backend-lost', 'b'),
  line(22, 'end-engine-group', 'low-1'),
  line(23, 'control-lost', 'e1'),
  line(24, 'request-failed', 'q1', {targets: 'a', model: 'big'}),
  line(25, 'request-refused', 'q2', {targets: '', model: 'low'}),
  line(30, 'end-engine-group', 'big-1'),
  'm1 {"ready":"whinreel-entry"}',
  'm1 {"event":"cut of',
].join('\n');

function describeLines(id: string): string[] {
  return explainRequest(LOG, id).map(
    ({event, id: about}) => `${event} ${about}`,
  );
}

test('a request that was sent is explained by what befell its group before', () => {
  expect(describeLines('q1')).toEqual([
    'end-engine-group big-1',
    'request-failed q1',
  ]);
});

test('a request that was sent nowhere is explained by groups of its model and control', () => {
  expect(describeLines('q2')).toEqual([
    'end-engine-group low-1',
    'control-lost e1',
    'request-refused q2',
  ]);
});

test('a request that nobody logged has no explanation', () => {
  expect(describeLines('q3')).toEqual([]);
});
