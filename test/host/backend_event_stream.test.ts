import {expect, test} from 'vitest';
import {BackendEventStream} from '../../src/host/backend_event_stream';
import {countBufferWork} from '../support/count_buffer_work';
import {countByteReads} from '../support/count_byte_reads';

const EVENT_BYTES = 1024 * 1024;

// Each piece was joined with all before it: 1 MiB in pieces of one byte was copied 500,000 times over.
test('an event in pieces of one byte takes work in proportion to its size', () => {
  const splitter = BackendEventStream.create(false);
  const event = Buffer.alloc(EVENT_BYTES, 'x');
  event.write('\n\n', EVENT_BYTES - 2);
  let complete: Buffer = Buffer.alloc(0);
  let reads = 0;
  const work = countBufferWork(() => {
    for (let at = 0; at < EVENT_BYTES; at += 1) {
      const piece = event.subarray(at, at + 1);
      complete = splitter.split(countByteReads(piece, () => (reads += 1)));
    }
  });

  expect(complete.equals(event)).toBe(true);
  expect(splitter.pendingBytes).toBe(0);
  expect(work).toBeLessThanOrEqual(3 * EVENT_BYTES);
  // Each piece is read once to be searched and once to be copied, and may be a byte order mark.
  expect(reads).toBeLessThanOrEqual(2 * EVENT_BYTES + 64);
});

test('events that were returned do not change with those that follow', () => {
  const splitter = BackendEventStream.create(false);
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

// Only LF LF ended an event, so no stream with other line ends had an end marker.
test.each(['\n', '\r\n', '\r'])(
  'a stream is complete after its end marker alone, with lines that end in %j and any cuts',
  lineEnd => {
    const text = [
      'data: a\n\n',
      'data: xdata: [DONE]\n\n',
      'id: 3\ndata: [DONE]\n\n',
    ]
      .join('')
      .replaceAll('\n', lineEnd);
    const secondLineEnd = text.length - lineEnd.length + 1;
    for (let size = 1; size <= text.length; size += 1) {
      const stream = BackendEventStream.create(false);
      let joined = '';
      for (let at = 0; at < text.length; at += size) {
        const piece = text.slice(at, at + size);
        joined += stream.split(Buffer.from(piece)).toString();
        const arrived = at + piece.length;
        expect(stream.isComplete).toBe(arrived >= secondLineEnd);
      }
      expect(joined).toBe(text);
    }
  },
);

test('empty lines behind the end marker change nothing, and another event does', () => {
  const stream = BackendEventStream.create(false);
  stream.split(Buffer.from('data: [DONE]\n\n'));
  stream.split(Buffer.from('\n\r\n'));
  expect(stream.isComplete).toBe(true);
  stream.split(Buffer.from(': comment\n\n'));
  expect(stream.isComplete).toBe(false);
});
