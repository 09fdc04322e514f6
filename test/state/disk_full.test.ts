import {mkdtempSync} from 'node:fs';
import {open} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import * as path from 'node:path';
import {afterEach, describe, expect, test, vi} from 'vitest';
import {LogRecord} from '../../src/state/log_record';
import {WriteAheadLog} from '../../src/state/write_ahead_log';

afterEach(() => vi.restoreAllMocks());

function record(index: number): LogRecord {
  const command = {type: 'start-term' as const, time: 0};
  return {type: 'entry', entry: {index, term: 1, command}};
}

/** Makes the next append write five bytes and then fail with ENOSPC. */
async function fillDisk(folder: string): Promise<void> {
  const probe = await open(path.join(folder, 'probe'), 'w');
  const prototype = Object.getPrototypeOf(probe) as typeof probe;
  await probe.close();
  const original = prototype.write as unknown as (
    ...args: unknown[]
  ) => Promise<unknown>;
  vi.spyOn(prototype, 'write').mockImplementationOnce(async function (
    this: typeof probe,
    ...[bytes, offset]: unknown[]
  ) {
    await original.call(this, bytes, offset, 5);
    throw Object.assign(new Error('no space left'), {code: 'ENOSPC'});
  });
}

describe('a log on a full disk', () => {
  test('rejects an append with DiskFull, and accepts the same records once there is room', async () => {
    const folder = mkdtempSync(path.join(tmpdir(), 'whinreel-full-'));
    const log = await WriteAheadLog.create(folder);
    await log.append([record(1)]);
    await fillDisk(folder);
    await expect(log.append([record(2)])).rejects.toMatchObject({
      name: 'DiskFull',
    });
    await log.append([record(2)]);
    await log.close();
    const {recovered} = await WriteAheadLog.create(folder);

    expect(recovered.entries.map(entry => entry.index)).toEqual([1, 2]);
    expect(recovered.cutBytes).toBe(0);
  });

  test('recovers the commit index with the entries', async () => {
    const folder = mkdtempSync(path.join(tmpdir(), 'whinreel-commit-'));
    const log = await WriteAheadLog.create(folder);
    await log.append([{type: 'commit', index: 1}, record(1), record(2)]);
    await log.append([{type: 'commit', index: 2}, record(3)]);
    await log.close();
    const {recovered} = await WriteAheadLog.create(folder);

    expect(recovered.commitIndex).toBe(2);
  });
});
