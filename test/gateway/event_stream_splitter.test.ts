// Guards against events that are split wrongly, and against work that grows faster than the bytes of an event.
import * as fc from 'fast-check';
import {describe, expect, test} from 'vitest';
import {ResponseMemory} from '../../src/gateway/responses/response_memory';
import {MAX_EVENT_BYTES} from '../../src/gateway/responses/max_event_bytes';
import {ResponseBuffer} from '../../src/gateway/responses/response_buffer';
import {EventStreamSplitter} from '../../src/protocol/event_stream_splitter';
import {countBufferWork} from '../support/count_buffer_work';
import {countByteReads} from '../support/count_byte_reads';
import {readEventStream} from '../support/event_stream_model';

function createBuffer() {
  const memory = ResponseMemory.create(64 * 1024 * 1024);
  const share = memory.createShare({
    canEvict: () => true,
    onEvicted: () => undefined,
  });
  return ResponseBuffer.create(MAX_EVENT_BYTES, share);
}

function createSplitter(
  options?: Parameters<typeof EventStreamSplitter.create>[1],
) {
  return EventStreamSplitter.create(createBuffer(), options);
}

describe('an event that arrives in many chunks', () => {
  const CHUNK = Buffer.alloc(16 * 1024, 'x');

  /** Counts the bytes that are copied and joined, and those that are read one by one. */
  function countWork(chunks: number, end: string): number {
    let reads = 0;
    const noteReads = (bytes: Buffer) =>
      countByteReads(bytes, () => (reads += 1));
    const held = createBuffer();
    const splitter = EventStreamSplitter.create({
      get length() {
        return held.length;
      },
      get lastByte() {
        return held.lastByte;
      },
      add: piece => held.add(piece),
      take: () => noteReads(held.take()),
    });
    const work = countBufferWork(() => {
      for (let at = 0; at < chunks; at += 1) {
        expect(splitter.split(noteReads(CHUNK)).length).toBe(0);
      }
      expect(splitter.split(noteReads(Buffer.from(end))).length).toBe(1);
    });
    // Each byte is read at least once for the end of the event and once for its fields.
    expect(reads).toBeGreaterThanOrEqual(2 * chunks * CHUNK.length);
    return work + reads;
  }

  // All that had arrived was joined and searched again with each chunk.
  test.each(['\n\n', '\r\n\r\n', '\r\r'])(
    'takes work in proportion to its bytes when it ends in %j',
    end => {
      for (const chunks of [8, 128]) {
        // Searched for its end, copied, joined, and searched for its id.
        const bound = 4 * chunks * CHUNK.length + 1024;
        expect(countWork(chunks, end)).toBeLessThanOrEqual(bound);
      }
    },
    60_000,
  );
});

test('an event beyond the limit ends the stream, and the events before it count', () => {
  const splitter = createSplitter();
  const chunk = Buffer.alloc(1024 * 1024, 'x');
  const first = Buffer.concat([Buffer.from('id: 1\n\n'), chunk]);
  expect(splitter.split(first).map(({id}) => id)).toEqual(['1']);
  for (let at = 0; at < 3; at += 1) {
    expect(splitter.split(chunk)).toEqual([]);
    expect(splitter.failure).toBeUndefined();
  }
  expect(splitter.split(Buffer.from('x\n\nid: 2\n\n'))).toEqual([]);
  expect(splitter.failure).toBe('too-long');
});

const TEXT = [' ', ' ', 'x', '7', 'é', '\0', ':', 'id', 'data'];
const LINE_ENDS = ['\n', '\r\n', '\r'];
const LINES = [
  'id: 1',
  'id:2',
  'id',
  'id:',
  'data: x',
  'data',
  ': c',
  'event: e',
];

/** Streams with every line end, mixed or not, and lines of all kinds. */
const STREAMS = fc
  .record({
    mark: fc.constantFrom('', '', '\ufeff'),
    lineEnds: fc.oneof(
      fc.constantFrom(...LINE_ENDS.map(each => [each])),
      fc.constant(LINE_ENDS),
    ),
    parts: fc.array(
      fc.record({
        line: fc.oneof(
          fc.constant(''),
          fc.constantFrom(...LINES),
          fc
            .array(fc.constantFrom(...TEXT, '\ufeff'), {maxLength: 6})
            .map(texts => texts.join('')),
        ),
        lineEnd: fc.nat(),
      }),
    ),
    rest: fc.constantFrom('', 'id: 9', 'data: x', ':'),
  })
  .map(({mark, lineEnds, parts, rest}) => {
    const text = parts.map(
      ({line, lineEnd}) => line + lineEnds[lineEnd % lineEnds.length],
    );
    return Buffer.from(mark + text.join('') + rest);
  });

// Only LF LF ended an event, so a stream with other line ends was one event without an end.
test('every whole event is passed on unchanged as soon as it has arrived, with any line ends and cuts', () => {
  const cuts = fc.array(fc.integer({min: 1, max: 12}), {minLength: 1});
  fc.assert(
    fc.property(STREAMS, cuts, (stream, lengths) => {
      const splitter = createSplitter();
      const parts: ReturnType<typeof splitter.split> = [];
      let passedOn = '';
      for (let at = 0, turn = 0; at < stream.length; turn += 1) {
        const end = at + lengths[turn % lengths.length];
        const added = splitter.split(stream.subarray(at, end));
        parts.push(...added);
        passedOn += added.map(({bytes}) => bytes.toString('latin1')).join('');
        const arrived = stream.toString('latin1', 0, end);
        const {wholeBytes} = readEventStream(arrived);
        expect(passedOn).toBe(arrived.slice(0, wholeBytes));
        at = end;
      }
      const {events, wholeBytes} = readEventStream(stream.toString('latin1'));
      expect(
        parts
          .filter(({isBlank}) => !isBlank)
          .map(({id, hasData}) => ({id, hasData})),
      ).toEqual(events);
      const rest = stream.length - wholeBytes;
      const mark = wholeBytes === 0 && hasMark(stream) ? 3 : 0;
      expect(splitter.pendingBytes).toBe(rest - mark);
    }),
    {seed: -1355665138, numRuns: 10_000},
  );
}, 60_000);

function hasMark(stream: Buffer): boolean {
  return stream.toString('latin1', 0, 3) === '\u00ef\u00bb\u00bf';
}

test.each(['\n\n', '\r\n\r\n', '\r\r', '\n\r\n', '\r\n\n', '\n\r'])(
  'an event that ends in %j is whole with the byte that completes the empty line',
  end => {
    const splitter = createSplitter();
    const event = `id: 1${end}`;
    const passedOn = [...event].map(byte => splitter.split(Buffer.from(byte)));
    const whole = passedOn.flat().filter(({isBlank}) => !isBlank);
    expect(whole.map(({id}) => id)).toEqual(['1']);
    expect(Buffer.concat(passedOn.flat().map(({bytes}) => bytes))).toEqual(
      Buffer.from(event),
    );
    expect(splitter.pendingBytes).toBe(0);
  },
);

// A byte order mark between two events would become part of the name of a field.
test('the byte order mark of a stream that goes on after another is dropped, however it is cut', () => {
  for (const length of [1, 2, 3, 4, 100]) {
    const splitter = createSplitter({isContinuation: true});
    const stream = Buffer.from('\ufeffid: 2\n\n\ufeffid: 3\n\n');
    const events = [];
    for (let at = 0; at < stream.length; at += length) {
      events.push(...splitter.split(stream.subarray(at, at + length)));
    }
    expect(events.map(({bytes}) => bytes.toString('utf8')).join('')).toBe(
      'id: 2\n\n\ufeffid: 3\n\n',
    );
    expect(events[0].id).toBe('2');
  }
});

// The first id counted, up to its first blank: a stream was resumed after another event than its last.
test.each([
  ['id: 1\nid: 2\ndata: x', '2'],
  ['id: a b\ndata: x', 'a b'],
  ['id:  a', ' a'],
  ['id:a ', 'a '],
  ['id: 1\nid: 2\0', '1'],
  ['id: 1\nid', ''],
  ['id: 1\nid:', ''],
  ['id: 1\nidentity: 2', '1'],
  ['id: 1\n id: 2', '1'],
  ['id: 1:2', '1:2'],
  ['data: id: 1', undefined],
])('the id of %j is %j with any line ends', (event, id) => {
  for (const lineEnd of LINE_ENDS) {
    const text = `${event}\n\n`.replaceAll('\n', lineEnd);
    const ids = createSplitter()
      .split(Buffer.from(text))
      .map(each => each.id);
    expect(ids).toEqual([id]);
  }
});
