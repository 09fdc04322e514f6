import {expect, test} from 'vitest';
import {checkStream} from './check_stream';
import {SoakMachine} from './soak_machine';
import {StreamCall} from './stream_call';
import {streamEvents} from './stream_events';

/** Its streams have four events. */
const KEY = 'q13';
const RESUMABLE = '/r/';
const NOT_RESUMABLE = '/s/';

/** Events of one run, which begins with the first of them unless told otherwise. */
function formatRun(name: string, numbers: number[], from = numbers[0]): string {
  const run = {name, from, framing: 'chunked'};
  return numbers
    .map(number =>
      streamEvents.format({key: KEY, requestId: KEY, number, total: 4, run}),
    )
    .join('');
}

function listKinds(body: string, options: Partial<StreamCall> = {}): string[] {
  const call = {key: KEY, requestId: KEY, route: RESUMABLE, after: 0};
  const times = {sentAt: 0, endedAt: 1};
  const ends = {isWhole: true, wasGivenUp: false, wasOnKept: false, error: ''};
  const reply = {status: 200, body, bytes: body.length, ...ends, ...times};
  const entry = {} as SoakMachine;
  return checkStream({...call, entry, reply, ...options}).faults.map(
    ({kind}) => kind,
  );
}

test('a whole stream, a resumed one and the empty rest of one are not taken for broken', () => {
  expect(listKinds(formatRun('a', [1, 2, 3, 4]))).toEqual([]);
  expect(listKinds(formatRun('a', [1, 2]) + formatRun('b', [3, 4]))).toEqual(
    [],
  );
  expect(listKinds(formatRun('b', [3, 4]), {after: 2})).toEqual([]);
  expect(listKinds('', {after: 4})).toEqual([]);
});

test('a stream that is complete without its last event does not pass', () => {
  const early = ['ends as complete before its last event'];
  expect(listKinds(formatRun('a', [1, 2, 3]))).toEqual(early);
  expect(listKinds(`${formatRun('a', [1, 2, 3])}id: 4\nda`)).toEqual(early);
  expect(listKinds('')).toEqual(early);
});

test('a stream with a gap, with an event that comes twice or with one that goes back does not pass', () => {
  expect(listKinds(formatRun('a', [1, 3, 4]))).toEqual(['misses an event']);
  expect(listKinds(formatRun('a', [1, 2, 2, 3, 4]))).toEqual([
    'repeats an event',
  ]);
  expect(listKinds(formatRun('a', [3, 4], 1), {after: 1})).toEqual([
    'misses an event',
    'joins two runs',
  ]);
});

test('pieces of two runs do not pass unless the second goes on behind the first where it may', () => {
  const joined = ['joins two runs'];
  const first = formatRun('a', [1, 2]);
  expect(listKinds(first + formatRun('b', [3, 4], 1))).toEqual(joined);
  expect(
    listKinds(first + formatRun('b', [3, 4]), {route: NOT_RESUMABLE}),
  ).toEqual(joined);
});

test('an event of another request, and text that is no event, do not pass', () => {
  const foreign = 'holds what is no event of it';
  const body = formatRun('a', [1, 2, 3, 4]);
  expect(listKinds(body, {requestId: 'q14'})).toContain(foreign);
  expect(listKinds(body.replace('id: 2', 'id: 9'))).toContain(foreign);
});
