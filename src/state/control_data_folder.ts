/** The data folder of a control process: lock, identity, snapshot and log. */
import {randomBytes} from 'node:crypto';
import {readFile, rm, writeFile} from 'node:fs/promises';
import * as path from 'node:path';
import {systemTimers} from '../common/system_timers';
import {Timers} from '../common/timers';
import {waitFor} from '../common/wait_for';
import {nodeStorage} from './node_storage';
import {replaceFile} from './replace_file';
import {SnapshotStore} from './snapshot_store';
import {StateError} from './state_error';
import {Storage} from './storage';
import {WriteAheadLog} from './write_ahead_log';

const LOCK_FILE = 'lock';
const IDENTITY_FILE = 'identity';
const DISK_ID_BYTES = 8;
/** Between two tries on a disk that has no room. */
const DISK_RETRY_MS = 200;

/** How a data folder is opened. */
interface ControlDiskOptions {
  /** False where no other process can come to the folder; true without it. */
  readonly locksFolder?: boolean;
  readonly storage?: Storage;
  /** The disk has no room for a new identity; the write is tried again until it has. */
  readonly onDiskFull?: (error: Error) => void;
  readonly timers?: Timers;
  /** Names a new disk; never twice alike. */
  readonly createDiskId?: () => string;
}

/** An opened data folder. */
export class ControlDataFolder {
  private constructor(
    private readonly folder: string,
    /** Name of the process and of this very disk: a new disk is a new voter. */
    readonly identity: string,
    readonly snapshots: SnapshotStore,
    readonly log: WriteAheadLog,
  ) {}

  /**
   * Opens a data folder, creating it when it is not there.
   *
   * @param name the name of this control process
   * @throws StateError when the folder is in use or damaged
   * @example
   * const disk = await ControlDisk.create('data', 'control-a');
   */
  static async create(
    folder: string,
    name: string,
    options: ControlDiskOptions = {},
  ): Promise<ControlDataFolder> {
    const {locksFolder = true, storage = nodeStorage} = options;
    const {createDiskId = createNewDiskId, timers = systemTimers} = options;
    await storage.createFolder(folder);
    if (locksFolder) {
      await takeLock(folder);
    }
    const identity = await retryWhileFull(
      () => readOrCreateIdentity(storage, folder, name, createDiskId),
      timers,
      options.onDiskFull,
    );
    const snapshots = await SnapshotStore.create(folder, storage);
    const log = await WriteAheadLog.create(folder, storage);
    return new ControlDataFolder(folder, identity, snapshots, log);
  }

  /** Closes the log and gives the folder free. */
  async close(): Promise<void> {
    await this.log.close();
    await rm(path.join(this.folder, LOCK_FILE), {force: true});
  }
}

/** A process that came back to a full disk waits for room, as one that runs does. */
async function retryWhileFull(
  write: () => Promise<string>,
  timers: Timers,
  onDiskFull?: (error: Error) => void,
): Promise<string> {
  for (;;) {
    try {
      return await write();
    } catch (error) {
      if ((error as NodeJS.ErrnoException).code !== 'ENOSPC') {
        throw error;
      }
      onDiskFull?.(error as Error);
      await waitFor(timers, DISK_RETRY_MS);
    }
  }
}

function createNewDiskId(): string {
  return randomBytes(DISK_ID_BYTES).toString('hex');
}

async function readOrCreateIdentity(
  storage: Storage,
  folder: string,
  name: string,
  createDiskId: () => string,
): Promise<string> {
  const file = path.join(folder, IDENTITY_FILE);
  const known = await storage.read(file);
  if (!known) {
    const identity = `${name}/${createDiskId()}`;
    await replaceFile(storage, file, Buffer.from(identity));
    return identity;
  }
  const identity = known.toString();
  if (!identity.startsWith(`${name}/`)) {
    throw new StateError(
      'the data folder %s belongs to "%s", not to "%s"',
      folder,
      identity.split('/')[0],
      name,
    );
  }
  return identity;
}

/** The lock names a process and its start time, since process ids are used again. */
async function takeLock(folder: string): Promise<void> {
  const file = path.join(folder, LOCK_FILE);
  const owner = (await nodeStorage.read(file))?.toString();
  if (owner) {
    const [pid, startTime] = owner.split(' ');
    if (
      Number(pid) !== process.pid &&
      (await readStartTime(pid)) === startTime
    ) {
      throw new StateError(
        'the data folder %s is in use by process %s',
        folder,
        pid,
      );
    }
  }
  const mark = `${process.pid} ${await readStartTime(String(process.pid))}`;
  await writeFile(file, mark).catch((error: NodeJS.ErrnoException) => {
    // Without room for its lock a process must still come back to its quorum.
    if (error.code !== 'ENOSPC') {
      throw error;
    }
  });
}

/** Start time of a process in clock ticks since boot; undefined when it is gone. */
async function readStartTime(pid: string): Promise<string | undefined> {
  const START_TIME_FIELD = 19;
  try {
    const stat = await readFile(`/proc/${pid}/stat`, 'utf8');
    // The second field may hold spaces, so fields are counted after its bracket.
    const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
    return fields[0] === 'Z' ? undefined : fields[START_TIME_FIELD];
  } catch {
    return undefined;
  }
}
