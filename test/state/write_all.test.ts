/**
 * Guards against a gap in the log after a power loss, which makes its process refuse
 * to start. Each write since the last sync may be missing on its own, and Node's
 * `appendFile` splits data into writes of 512 KiB, so the first could be missing and a
 * later one present. A single write is complete, missing or cut short, and the log can
 * be read in each case.
 */
import {expect, test} from 'vitest';
import {writeAll} from '../../src/state/write_all';

const MEGABYTE = 1024 * 1024;

/** A file that accepts at most `maxBytes` in one write. */
function createFile(maxBytes: number) {
  const writes: number[] = [];
  const written: Buffer[] = [];
  const write = (bytes: Buffer, offset: number, length: number) => {
    const bytesWritten = Math.min(length, maxBytes);
    writes.push(length);
    written.push(Buffer.from(bytes.subarray(offset, offset + bytesWritten)));
    return Promise.resolve({bytesWritten});
  };
  return {file: {write}, writes, read: () => Buffer.concat(written)};
}

test('bytes of any size are passed to one write', async () => {
  const {file, writes, read} = createFile(Infinity);
  const bytes = Buffer.alloc(3 * MEGABYTE, 'x');

  await writeAll(file, bytes);

  expect(writes).toEqual([3 * MEGABYTE]);
  expect(read().equals(bytes)).toBe(true);
});

test('bytes that a write did not accept go into the next write', async () => {
  const {file, writes, read} = createFile(4);

  await writeAll(file, Buffer.from('abcdefghij'));

  expect(writes).toEqual([10, 6, 2]);
  expect(read().toString()).toBe('abcdefghij');
});
