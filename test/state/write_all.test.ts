/**
 * After a loss of power each write since the last sync may be there or missing by
 * itself. An append of over 512 KiB left in several writes, since the library's
 * appending cuts it up so; with the first one missing and a later one there the log
 * held a gap, and its process refused it as damaged and never came back. An append
 * that is one write is there, missing, or cut short, and each of these is read.
 */
import {expect, test} from 'vitest';
import {writeAll} from '../../src/state/write_all';

const MEGABYTE = 1024 * 1024;

/** A file that takes at most so many bytes with one write. */
function createFile(mostBytes: number) {
  const writes: number[] = [];
  const taken: Buffer[] = [];
  const write = (bytes: Buffer, offset: number, length: number) => {
    const bytesWritten = Math.min(length, mostBytes);
    writes.push(length);
    taken.push(Buffer.from(bytes.subarray(offset, offset + bytesWritten)));
    return Promise.resolve({bytesWritten});
  };
  return {file: {write}, writes, read: () => Buffer.concat(taken)};
}

test('bytes of any size leave in one write', async () => {
  const {file, writes, read} = createFile(Infinity);
  const bytes = Buffer.alloc(3 * MEGABYTE, 'x');

  await writeAll(file, bytes);

  expect(writes).toEqual([3 * MEGABYTE]);
  expect(read().equals(bytes)).toBe(true);
});

test('what a write did not take goes into the next', async () => {
  const {file, writes, read} = createFile(4);

  await writeAll(file, Buffer.from('abcdefghij'));

  expect(writes).toEqual([10, 6, 2]);
  expect(read().toString()).toBe('abcdefghij');
});
