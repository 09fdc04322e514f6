import {mkdtempSync, readFileSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import * as path from 'node:path';
import fc from 'fast-check';
import {beforeEach, expect, test} from 'vitest';
import {LogRecord} from '../../src/state/log_record';
import {SnapshotStore} from '../../src/state/snapshot_store';
import {WriteAheadLog} from '../../src/state/write_ahead_log';

let folder: string;
let file: string;

beforeEach(() => {
  folder = mkdtempSync(path.join(tmpdir(), 'whinreel-log-'));
  file = path.join(folder, 'log.wal');
});

function createEntry(index: number, term = 1): LogRecord {
  return {
    type: 'entry',
    entry: {index, term, command: {type: 'start-term', time: index}},
  };
}

async function write(records: readonly LogRecord[]): Promise<void> {
  const log = await WriteAheadLog.create(folder);
  await log.append(records);
  await log.close();
}

async function readIndexes(): Promise<number[]> {
  const log = await WriteAheadLog.create(folder);
  await log.close();
  return log.recovered.entries.map(entry => entry.index);
}

test('appended entries, the term and the vote survive a restart', async () => {
  await write([
    createEntry(1),
    createEntry(2),
    {type: 'hard-state', term: 3, votedFor: 'b'},
  ]);
  const log = await WriteAheadLog.create(folder);

  expect(log.recovered).toMatchObject({term: 3, votedFor: 'b', cutBytes: 0});
  expect(log.recovered.entries.map(entry => entry.index)).toEqual([1, 2]);
  await log.close();
});

test('a truncated suffix is not recovered', async () => {
  await write([createEntry(1), createEntry(2), createEntry(3)]);
  await write([{type: 'truncate', from: 2}, createEntry(2, 2)]);

  expect(await readIndexes()).toEqual([1, 2]);
});

test('an incomplete last record of any length is truncated, and earlier records are kept', async () => {
  await write([createEntry(1), createEntry(2)]);
  const before = readFileSync(file);
  await write([createEntry(3)]);
  const after = readFileSync(file);
  for (let length = before.length; length < after.length; length += 1) {
    writeFileSync(file, after.subarray(0, length));
    expect(await readIndexes()).toEqual([1, 2]);
  }
});

test('a flipped bit anywhere in a complete record fails opening and leaves the file unchanged', async () => {
  await write([createEntry(1), createEntry(2), createEntry(3)]);
  const intact = readFileSync(file);
  await fc.assert(
    fc.asyncProperty(fc.nat(intact.length - 1), fc.nat(7), async (at, bit) => {
      const damaged = Buffer.from(intact);
      damaged[at] ^= 1 << bit;
      writeFileSync(file, damaged);
      await expect(WriteAheadLog.create(folder)).rejects.toThrow(
        /is damaged at byte \d+/,
      );
      expect(readFileSync(file).equals(damaged)).toBe(true);
    }),
    {numRuns: 300, seed: 1},
  );
});

test('an entry that is appended again to a rewritten log is recovered once', async () => {
  const log = await WriteAheadLog.create(folder);
  await log.append([createEntry(1), createEntry(2)]);
  await log.replaceAll([createEntry(2), createEntry(3)]);
  await log.append([createEntry(3), createEntry(4)]);
  await log.close();

  expect(await readIndexes()).toEqual([2, 3, 4]);
});

test('an append rejects when the write fails', async () => {
  const log = await WriteAheadLog.create(folder);
  await log.close();

  await expect(log.append([createEntry(1)])).rejects.toThrow(
    /cannot write the log/,
  );
});

test('opening a corrupted snapshot fails', async () => {
  const store = await SnapshotStore.create(folder);
  await store.save({
    index: 7,
    term: 2,
    voters: {a: 'a/1'},
    state: new Uint8Array([1, 2, 3]),
  });
  const name = path.join(folder, 'snapshot');
  const bytes = readFileSync(name);
  bytes[bytes.length - 1] ^= 1;
  writeFileSync(name, bytes);

  await expect(SnapshotStore.create(folder)).rejects.toThrow(/is damaged/);
});
