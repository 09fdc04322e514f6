import {expect, test} from 'vitest';
import {SseSplitter} from '../../src/protocol/sse_splitter';
import {countBufferWork} from '../support/count_buffer_work';

const EVENT_BYTES = 1024 * 1024;

// Each piece was joined with all before it: 1 MiB in pieces of one byte was copied 500,000 times over.
test('an event in pieces of one byte takes work in proportion to its size', () => {
  const splitter = SseSplitter.create();
  const event = Buffer.alloc(EVENT_BYTES, 'x');
  event.write('\n\n', EVENT_BYTES - 2);
  let complete: Buffer = Buffer.alloc(0);
  const work = countBufferWork(() => {
    for (let at = 0; at < EVENT_BYTES; at += 1) {
      complete = splitter.split(event.subarray(at, at + 1));
    }
  });

  expect(complete.equals(event)).toBe(true);
  expect(splitter.pendingBytes).toBe(0);
  expect(work).toBeLessThanOrEqual(3 * EVENT_BYTES);
});

test('events that were returned do not change with those that follow', () => {
  const splitter = SseSplitter.create();
  const returned: Buffer[] = [];
  for (const character of 'data: a\n\ndata: b\n\ndata: c\n\n') {
    const events = splitter.split(Buffer.from(character));
    if (events.length > 0) {
      returned.push(events);
    }
  }

  expect(returned.map(String)).toEqual([
    'data: a\n\n',
    'data: b\n\n',
    'data: c\n\n',
  ]);
});
