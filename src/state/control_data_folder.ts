/** The data folder of a control process: lock file, identity, snapshot and log. */
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
/** Between two attempts to write to a full disk. */
const DISK_RETRY_MS = 200;

/** Options for opening a data folder. */
interface ControlDataFolderOptions {
  /** Whether a lock file guards against a second process. Default: true; false where no other process can access the folder. */
  readonly locksFolder?: boolean;
  readonly storage?: Storage;
  /** Called after each failed attempt to write a new identity to a full disk; the write is retried until it succeeds. */
  readonly onDiskFull?: (error: Error) => void;
  readonly timers?: Timers;
  /** Creates a unique id for a new data folder. */
  readonly createDiskId?: () => string;
}

/** An opened data folder. */
export class ControlDataFolder {
  private constructor(
    private readonly folder: string,
    /** The process's name and the folder's id: with a new folder the process is a new voter. */
    readonly identity: string,
    readonly snapshots: SnapshotStore,
    readonly log: WriteAheadLog,
  ) {}

  /**
   * Opens a data folder, and creates it if it doesn't exist.
   *
   * @param name the name of this control process
   * @throws StateError if the folder is in use, belongs to another process or is corrupted
   * @example
   * const dataFolder = await ControlDataFolder.create('data', 'control-a');
   */
  static async create(
    folder: string,
    name: string,
    options: ControlDataFolderOptions = {},
  ): Promise<ControlDataFolder> {
    const {locksFolder = true, storage = nodeStorage} = options;
    const {createDiskId = createNewDiskId, timers = systemTimers} = options;
    await storage.createFolder(folder);
    if (locksFolder) {
      await acquireLock(folder);
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

  /** Closes the log and releases the lock. */
  async close(): Promise<void> {
    await this.log.close();
    await rm(path.join(this.folder, LOCK_FILE), {force: true});
  }
}

/** Retries while the disk is full: a restarted process waits for room, as a running one does. */
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

/** The lock file holds the process id and its start time, because process ids are reused. */
async function acquireLock(folder: string): Promise<void> {
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
  const content = `${process.pid} ${await readStartTime(String(process.pid))}`;
  await writeFile(file, content).catch((error: NodeJS.ErrnoException) => {
    // On a full disk a process must still be able to rejoin its quorum, without a lock.
    if (error.code !== 'ENOSPC') {
      throw error;
    }
  });
}

/** Reads the start time of a process, in clock ticks since boot; undefined if it has ended. */
async function readStartTime(pid: string): Promise<string | undefined> {
  const START_TIME_FIELD = 19;
  try {
    const stat = await readFile(`/proc/${pid}/stat`, 'utf8');
    // The second field, the command in parentheses, may contain spaces, so fields are counted after it.
    const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
    return fields[0] === 'Z' ? undefined : fields[START_TIME_FIELD];
  } catch {
    return undefined;
  }
}
