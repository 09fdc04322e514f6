// Guards against events that are split wrongly, and against work that grows faster than the bytes of an event.
import * as fc from 'fast-check';
import {describe, expect, test} from 'vitest';
import {ResponseMemory} from '../../src/gateway/responses/response_memory';
import {EventStreamSplitter} from '../../src/gateway/responses/event_stream_splitter';
import {countBufferWork} from '../support/count_buffer_work';

function createSplitter() {
  const memory = ResponseMemory.create(64 * 1024 * 1024);
  const share = memory.createShare({
    canEvict: () => true,
    onEvicted: () => undefined,
  });
  return EventStreamSplitter.create(share);
}

describe('an event that arrives in many chunks', () => {
  const CHUNK = Buffer.alloc(16 * 1024, 'x');

  function countWork(chunks: number): number {
    const splitter = createSplitter();
    return countBufferWork(() => {
      for (let at = 0; at < chunks; at += 1) {
        expect(splitter.split(CHUNK)).toEqual([]);
      }
      expect(splitter.split(Buffer.from('\n\n'))).toHaveLength(1);
    });
  }

  // All that had arrived was joined and searched again with each chunk.
  test('takes work in proportion to its bytes', () => {
    for (const chunks of [8, 128]) {
      // Searched for its end, copied, joined, and searched for its id.
      const bound = 4 * chunks * CHUNK.length + 1024;
      expect(countWork(chunks)).toBeLessThanOrEqual(bound);
    }
  });
});

test('an event of many lines that may have an id takes work in proportion to its bytes', () => {
  const event = Buffer.from(`${'id:\n'.repeat(50_000)}\n`);
  const splitter = createSplitter();
  const work = countBufferWork(() =>
    expect(splitter.split(event)).toHaveLength(1),
  );
  expect(work).toBeLessThanOrEqual(4 * event.length);
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

/** An id is sent back in a header, where each byte is a character. */
function encodeLatin1(text: string): string {
  return Buffer.from(text).toString('latin1');
}

/** The event stream format lets the last id of an event count. */
function findLastId(event: string): string | undefined {
  return [...event.matchAll(/^id:[ ]?(\S+)/gm)].at(-1)?.[1];
}

test('streams are split at the same places, however their bytes arrive', () => {
  const text = fc
    .array(fc.constantFrom('\n', 'id:', 'id: ', ' ', 'x', '7', 'data: ', 'é'))
    .map(parts => parts.join(''));
  const cuts = fc.array(fc.nat(20));
  fc.assert(
    fc.property(text, cuts, (stream, lengths) => {
      const splitter = createSplitter();
      const bytes = Buffer.from(stream);
      const events = [];
      let at = 0;
      for (const length of [...lengths, bytes.length]) {
        events.push(...splitter.split(bytes.subarray(at, at + length)));
        at += length;
      }
      const whole = stream.split('\n\n').slice(0, -1);
      expect(events.map(event => event.bytes.toString())).toEqual(
        whole.map(event => `${event}\n\n`),
      );
      expect(events.map(({id}) => id)).toEqual(
        whole.map(event => findLastId(encodeLatin1(event))),
      );
      const rest = stream.split('\n\n').at(-1) ?? '';
      expect(splitter.pendingBytes).toBe(Buffer.byteLength(rest));
    }),
    {
      seed: -1355665138,
      numRuns: 1_000,
      examples: [
        ['id: é\n\n', []],
        ['id: 1\nid: 2\ndata: x\nid: \nid:\n\n', [9]],
      ],
    },
  );
});
