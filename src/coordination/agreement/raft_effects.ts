import {LogEntry} from '../../protocol/log_entry';
import {RaftMessage} from '../../protocol/raft_message';

/** A message to one other node. */
interface Outgoing {
  readonly to: string;
  readonly message: RaftMessage;
}

/** What must reach the disk, in this order. */
interface Persist {
  readonly hardState?: {
    readonly term: number;
    readonly votedFor: string | undefined;
  };
  /** Drop this entry and all after it first. */
  readonly truncateFrom?: number;
  readonly entries: readonly LogEntry[];
}

/** What a node of the agreement asks its surroundings to do. */
export interface RaftEffects {
  readonly persist?: Persist;
  /** May leave at once. */
  readonly messages: readonly Outgoing[];
  /** Must not leave before `persist` is on disk. */
  readonly messagesAfterPersist: readonly Outgoing[];
  /** Entries that are committed now, in order. */
  readonly committedEntries: readonly LogEntry[];
  /** A snapshot from the leader, to be installed before anything else. */
  readonly snapshotToInstall?: {
    readonly index: number;
    readonly term: number;
    readonly voters: Record<string, string>;
    readonly state: Uint8Array;
  };
  /** Set when the role or the known leader changed. */
  readonly roleChange?: {readonly role: string; readonly reason: string};
}
