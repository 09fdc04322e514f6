/** The newest snapshot of the replicated state, on disk. */
import * as path from 'node:path';
import {Decoder, Encoder} from 'cbor-x';
import {z} from 'zod';
import {nodeStorage} from './node_storage';
import {recordCodec} from './record_codec';
import {replaceFile} from './replace_file';
import {StateError} from './state_error';
import {Storage} from './storage';

const FILE_NAME = 'snapshot';
const encoder = new Encoder({useRecords: false});
const decoder = new Decoder({useRecords: false, mapsAsObjects: true});

const Snapshot = z.object({
  index: z.int().nonnegative(),
  term: z.int().nonnegative(),
  voters: z.record(z.string(), z.string()),
  state: z.custom<Uint8Array>(value => value instanceof Uint8Array),
});
type Snapshot = z.infer<typeof Snapshot>;

/** Stores one snapshot and replaces it atomically. */
export class SnapshotStore {
  private constructor(
    private readonly storage: Storage,
    private readonly file: string,
    private snapshot: Snapshot | undefined,
  ) {}

  /**
   * Opens the store of a data folder and reads its snapshot, if there is one.
   *
   * @throws StateError if the snapshot is corrupted
   * @example
   * const store = await SnapshotStore.create('data');
   */
  static async create(
    folder: string,
    storage: Storage = nodeStorage,
  ): Promise<SnapshotStore> {
    const file = path.join(folder, FILE_NAME);
    const bytes = await storage.read(file);
    return new SnapshotStore(storage, file, bytes && readSnapshot(bytes, file));
  }

  /** The newest snapshot; undefined if none was saved yet. */
  get current(): Snapshot | undefined {
    return this.snapshot;
  }

  /**
   * Replaces the snapshot and waits until it is on disk.
   *
   * @throws StateError if it can't be written, named `DiskFull` if the disk has no room
   */
  async save(snapshot: Snapshot): Promise<void> {
    try {
      await replaceFile(
        this.storage,
        this.file,
        recordCodec.encode(encoder.encode(snapshot)),
      );
    } catch (error) {
      const isFull = (error as NodeJS.ErrnoException).code === 'ENOSPC';
      throw new StateError(
        {
          cause: error as Error,
          name: isFull ? 'DiskFull' : 'StateError',
        },
        'cannot write the snapshot %s',
        this.file,
      );
    }
    this.snapshot = snapshot;
  }
}

function readSnapshot(bytes: Buffer, file: string): Snapshot {
  const {payloads, wholeBytes} = recordCodec.decode(bytes, file);
  if (payloads.length !== 1 || wholeBytes !== bytes.length) {
    throw new StateError('%s is damaged: expected exactly one record', file);
  }
  const parsed = Snapshot.safeParse(decoder.decode(payloads[0]));
  if (!parsed.success) {
    throw new StateError(
      parsed.error,
      '%s does not contain a valid snapshot',
      file,
    );
  }
  return parsed.data;
}
