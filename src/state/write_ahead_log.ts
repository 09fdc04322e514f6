/** The on-disk copy of the replicated log, with this node's term and vote. */
import * as path from 'node:path';
import {Decoder, Encoder} from 'cbor-x';
import {LogEntry} from '../protocol/log_entry';
import {LogRecord} from './log_record';
import {nodeStorage} from './node_storage';
import {recordCodec} from './record_codec';
import {replaceFile} from './replace_file';
import {StateError} from './state_error';
import {Storage} from './storage';
import {StorageFile} from './storage_file';
import {writeAll} from './write_all';

const FILE_NAME = 'log.wal';
const encoder = new Encoder({useRecords: false});
const decoder = new Decoder({useRecords: false, mapsAsObjects: true});

/** The content of the log when it was opened. */
interface RecoveredLog {
  readonly term: number;
  readonly votedFor: string | undefined;
  /** Entries up to this index were known to be committed. */
  readonly commitIndex: number;
  readonly entries: readonly LogEntry[];
  /** Bytes of an incomplete last record that were truncated. */
  readonly cutBytes: number;
}

/** Appends records, and resolves only after they are synced to disk. */
export class WriteAheadLog {
  private constructor(
    private readonly storage: Storage,
    private readonly folder: string,
    private file: StorageFile,
    /** The content of the log when it was opened. */
    readonly recovered: RecoveredLog,
    /** Bytes of complete records known to be on disk. */
    private durableBytes: number,
  ) {}

  /**
   * Opens the log in a data folder, and truncates an incomplete last record.
   *
   * @throws StateError if a complete record is corrupted
   * @example
   * const log = await WriteAheadLog.create('data');
   */
  static async create(
    folder: string,
    storage: Storage = nodeStorage,
  ): Promise<WriteAheadLog> {
    const name = path.join(folder, FILE_NAME);
    const bytes = (await storage.read(name)) ?? Buffer.alloc(0);
    const {payloads, wholeBytes} = recordCodec.decode(bytes, name);
    const records = payloads.map(payload => decodeRecord(payload, name));
    const file = await storage.open(name, 'add');
    await file.truncate(wholeBytes);
    await file.sync();
    await storage.syncFolder(folder);
    const cutBytes = bytes.length - wholeBytes;
    const recovered = {...replay(records), cutBytes};
    return new WriteAheadLog(storage, folder, file, recovered, wholeBytes);
  }

  /**
   * Appends records and waits until they are on disk.
   *
   * @throws StateError named `DiskFull` if the disk has no room: nothing was
   *     appended, and the same records may be appended again. After an error with
   *     any other name the log must not be used any more.
   */
  async append(records: readonly LogRecord[]): Promise<void> {
    const bytes = Buffer.concat(records.map(encodeRecord));
    try {
      await writeAll(this.file, bytes);
      await this.file.datasync();
      this.durableBytes += bytes.length;
    } catch (error) {
      await this.handleFailedWrite(error as Error);
    }
  }

  /** Truncates what a failed write left if the disk is full, so that the file ends with a complete record. Always throws. */
  private async handleFailedWrite(cause: Error): Promise<never> {
    const isFull = (cause as NodeJS.ErrnoException).code === 'ENOSPC';
    const message = `cannot write the log in ${this.folder}`;
    if (!isFull) {
      throw new StateError(cause, message);
    }
    try {
      await this.file.truncate(this.durableBytes);
    } catch (error) {
      throw new StateError(
        error as Error,
        '%s, nor truncate the incomplete record',
        message,
      );
    }
    throw new StateError({cause, name: 'DiskFull'}, message);
  }

  /** Atomically replaces the log by these records, after a snapshot. */
  async replaceAll(records: readonly LogRecord[]): Promise<void> {
    const name = path.join(this.folder, FILE_NAME);
    try {
      const bytes = Buffer.concat(records.map(encodeRecord));
      await replaceFile(this.storage, name, bytes);
      await this.file.close();
      this.file = await this.storage.open(name, 'add');
      this.durableBytes = bytes.length;
    } catch (error) {
      throw new StateError(
        {cause: error as Error, name: findErrorName(error as Error)},
        'cannot rewrite the log in %s',
        this.folder,
      );
    }
  }

  async close(): Promise<void> {
    await this.file.close();
  }
}

function findErrorName(error: Error): string {
  const isFull = (error as NodeJS.ErrnoException).code === 'ENOSPC';
  return isFull ? 'DiskFull' : 'StateError';
}

function encodeRecord(record: LogRecord): Buffer {
  return recordCodec.encode(encoder.encode(record));
}

function decodeRecord(payload: Buffer, name: string): LogRecord {
  const parsed = LogRecord.safeParse(decoder.decode(payload));
  if (!parsed.success) {
    throw new StateError(
      parsed.error,
      '%s contains a record of an unknown type',
      name,
    );
  }
  return parsed.data;
}

function replay(records: readonly LogRecord[]): Omit<RecoveredLog, 'cutBytes'> {
  const entries: LogEntry[] = [];
  let term = 0;
  let votedFor: string | undefined;
  let commitIndex = 0;
  for (const record of records) {
    if (record.type === 'hard-state') {
      term = record.term;
      votedFor = record.votedFor;
    } else if (record.type === 'commit') {
      commitIndex = Math.max(commitIndex, record.index);
    } else if (record.type === 'truncate') {
      truncateFrom(entries, record.from);
    } else {
      // A rewritten log may contain an entry that is appended again later.
      truncateFrom(entries, record.entry.index);
      entries.push(record.entry);
    }
  }
  return {term, votedFor, commitIndex, entries};
}

function truncateFrom(entries: LogEntry[], index: number): void {
  const firstIndex = entries[0]?.index ?? index;
  entries.length = Math.min(entries.length, Math.max(0, index - firstIndex));
}
