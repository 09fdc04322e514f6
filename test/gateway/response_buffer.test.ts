// Guards against memory and work for a response that exceed what its bytes need.
import {expect, test} from 'vitest';
import {ResponseMemory} from '../../src/gateway/responses/response_memory';
import {ResponseBuffer} from '../../src/gateway/responses/response_buffer';

const MAX_BYTES = 1024 * 1024;

function createBuffer(memory = ResponseMemory.create(64 * MAX_BYTES)) {
  const share = memory.createShare({
    canEvict: () => true,
    onEvicted: () => undefined,
  });
  return ResponseBuffer.create(MAX_BYTES, share);
}

// Each piece was held as an object of its own, and kept the read that it came in alive.
test('many small pieces take no more than twice their bytes', () => {
  const buffer = createBuffer();
  const read = Buffer.alloc(64 * 1024, 'r');
  for (let at = 0; at < 16_384; at += 1) {
    expect(buffer.add(read.subarray(at, at + 1))).toBeUndefined();
  }
  expect(buffer.length).toBe(16_384);
  expect(buffer.allocatedBytes).toBeLessThanOrEqual(2 * 16_384);
});

// A body of single bytes takes millions of calls before its bytes reach the limit.
test('pieces are limited in number too', () => {
  const buffer = createBuffer();
  const piece = Buffer.from('x');
  let count = 0;
  while (!buffer.add(piece)) {
    count += 1;
  }
  expect(count).toBe(16_384);
});

test('the bytes come back in order, and the buffer is empty', () => {
  const buffer = createBuffer();
  const pieces = [1, 1_023, 5, 70_000, 3, 200_000, 1].map((length, at) =>
    Buffer.alloc(length, String(at)),
  );
  pieces.forEach(piece => buffer.add(piece));
  expect(buffer.lastByte).toBe('6'.charCodeAt(0));
  const whole = Buffer.concat(buffer.takeBlocks());
  expect(whole.equals(Buffer.concat(pieces))).toBe(true);
  expect(buffer).toMatchObject({
    length: 0,
    allocatedBytes: 0,
    lastByte: undefined,
  });
});

test('the limit is exact, and nothing beyond it is added', () => {
  const buffer = createBuffer();
  expect(buffer.add(Buffer.alloc(MAX_BYTES))).toBeUndefined();
  expect(buffer.add(Buffer.from('x'))).toBe('too-long');
  expect(buffer.length).toBe(MAX_BYTES);
});

test('all that is allocated counts in the memory of the gateway, until it is given back', () => {
  const memory = ResponseMemory.create(4 * MAX_BYTES);
  const buffers = [createBuffer(memory), createBuffer(memory)];
  buffers.forEach(buffer => {
    buffer.add(Buffer.from('x'));
    buffer.add(Buffer.alloc(100_000));
  });
  const [first, second] = buffers;
  expect(memory.usedBytes).toBe(first.allocatedBytes + second.allocatedBytes);
  first.clear();
  expect(memory.usedBytes).toBe(second.allocatedBytes);
  second.takeBlocks();
  expect(memory.usedBytes).toBe(0);
});
