/**
 * A disk that does to files what a real one may do when power is lost: of what was not
 * synced each write is there, missing or cut short, each rename is kept or lost.
 */
import {Storage} from '../../src/state/storage';
import {StorageFile} from '../../src/state/storage_file';
import {VirtualTime} from './virtual_time';

type FileChange =
  | {readonly kind: 'write'; readonly at: number; readonly bytes: Buffer}
  | {readonly kind: 'truncate'; readonly size: number};

/** The content of one file, whatever its name. */
interface Inode {
  synced: Buffer;
  current: Buffer;
  unsynced: FileChange[];
}

interface Rename {
  readonly from: string;
  readonly to: string;
  readonly replaced: Inode | undefined;
}

/** How long a write or sync takes at least and at most, in milliseconds. */
const WRITE_MS = 0.05;
const SYNC_MS = [0.3, 4] as const;

/** One machine's disk; it outlives the processes that use it. */
export class VirtualDisk {
  private names = new Map<string, Inode>();
  private renames: Rename[] = [];
  /** Syncs take until then at least: the disk stalls. */
  stalledUntil = 0;
  /** Nothing is answered until then. */
  hangsUntil = 0;
  /** Everything takes so many times as long. */
  slowdown = 1;
  /** Writes find no room. */
  isFull = false;

  private constructor(
    private readonly time: VirtualTime,
    private readonly random: () => number,
  ) {}

  static create(time: VirtualTime, random: () => number): VirtualDisk {
    return new VirtualDisk(time, random);
  }

  /** What one start of a process sees of the disk; once that process ended nothing comes back to it. */
  open(isAlive: () => boolean): Storage {
    const later = <T>(ms: number, result: () => T) =>
      this.wait(ms, isAlive, result);
    return {
      read: file =>
        later(WRITE_MS, () => {
          const inode = this.names.get(file);
          return inode && Buffer.from(inode.current);
        }),
      open: (file, how) =>
        later(WRITE_MS, () => this.openFile(file, how, later)),
      rename: (from, to) => {
        this.rename(from, to);
        return later(WRITE_MS, () => undefined);
      },
      createFolder: () => later(0, () => undefined),
      syncFolder: () => {
        const done = this.renames.length;
        return later(this.drawSyncMs(), () => {
          this.renames = this.renames.slice(done);
        });
      },
    };
  }

  /** Power is lost: only what was synced is sure. */
  losePower(): void {
    // The newest rename first, so that an older one finds the names that it left.
    for (const {from, to, replaced} of [...this.renames].reverse()) {
      if (this.random() < 0.5) {
        const moved = this.names.get(to);
        if (moved) {
          this.names.set(from, moved);
        }
        if (replaced) {
          this.names.set(to, replaced);
        } else {
          this.names.delete(to);
        }
      }
    }
    this.renames = [];
    const losesAll = this.random() < 0.3;
    for (const inode of new Set(this.names.values())) {
      const kept = losesAll ? [] : this.drawKept(inode.unsynced);
      inode.current = kept.reduce(applyChange, inode.synced);
      inode.synced = inode.current;
      inode.unsynced = [];
    }
    this.stalledUntil = 0;
  }

  private drawKept(changes: readonly FileChange[]): FileChange[] {
    return changes.flatMap(change => {
      const draw = this.random();
      if (draw < 0.4) {
        return [];
      }
      if (draw < 0.7 && change.kind === 'write') {
        const length = Math.floor(this.random() * change.bytes.length);
        return [{...change, bytes: change.bytes.subarray(0, length)}];
      }
      return [change];
    });
  }

  private openFile(
    name: string,
    how: 'add' | 'replace',
    later: <T>(ms: number, result: () => T) => Promise<T>,
  ): StorageFile {
    const inode = this.names.get(name) ?? {
      synced: Buffer.alloc(0),
      current: Buffer.alloc(0),
      unsynced: [],
    };
    this.names.set(name, inode);
    if (how === 'replace') {
      change(inode, {kind: 'truncate', size: 0});
    }
    const sync = () => {
      const {current} = inode;
      const done = inode.unsynced.length;
      return later(this.drawSyncMs(), () => {
        inode.synced = current;
        inode.unsynced = inode.unsynced.slice(done);
      });
    };
    return {
      write: (bytes, offset, length) => {
        const part = Buffer.from(bytes.subarray(offset, offset + length));
        const taken = this.isFull
          ? part.subarray(0, Math.floor(this.random() * part.length))
          : part;
        change(inode, {
          kind: 'write',
          at: inode.current.length,
          bytes: taken,
        });
        const {isFull} = this;
        return later(WRITE_MS, () => {
          if (isFull) {
            throw Object.assign(new Error('no room'), {code: 'ENOSPC'});
          }
          return {bytesWritten: taken.length};
        });
      },
      datasync: sync,
      sync,
      truncate: size => {
        if (size !== inode.current.length) {
          change(inode, {kind: 'truncate', size});
        }
        return later(WRITE_MS, () => undefined);
      },
      close: () => later(0, () => undefined),
    };
  }

  private rename(from: string, to: string): void {
    const moved = this.names.get(from);
    if (!moved) {
      throw new Error(`no file ${from}`);
    }
    this.renames.push({from, to, replaced: this.names.get(to)});
    this.names.set(to, moved);
    this.names.delete(from);
  }

  private drawSyncMs(): number {
    const [least, most] = SYNC_MS;
    const stallMs = Math.max(0, this.stalledUntil - this.time.now());
    return least + this.random() * (most - least) + stallMs;
  }

  private wait<T>(
    ms: number,
    isAlive: () => boolean,
    result: () => T,
  ): Promise<T> {
    const hangMs = Math.max(0, this.hangsUntil - this.time.now());
    return new Promise((resolve, reject) => {
      this.time.after(ms * this.slowdown + hangMs, () => {
        // The process that waited is gone, and with it what it waited for.
        if (!isAlive()) {
          return;
        }
        try {
          resolve(result());
        } catch (error) {
          reject(error as Error);
        }
      });
    });
  }
}

function change(inode: Inode, what: FileChange): void {
  inode.unsynced.push(what);
  inode.current = applyChange(inode.current, what);
}

function applyChange(content: Buffer, what: FileChange): Buffer {
  if (what.kind === 'truncate') {
    const kept = content.subarray(0, what.size);
    return Buffer.concat([kept, Buffer.alloc(what.size - kept.length)]);
  }
  const end = what.at + what.bytes.length;
  const size = Math.max(content.length, end);
  const result = Buffer.concat([content, Buffer.alloc(size - content.length)]);
  what.bytes.copy(result, what.at);
  return result;
}
