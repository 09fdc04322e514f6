import {LogEntry} from '../../protocol/log_entry';
import {RaftMessage} from '../../protocol/raft_message';

/** A message to another node. */
interface OutgoingMessage {
  readonly to: string;
  readonly message: RaftMessage;
}

/** Writes to stable storage, in this order. */
interface Persist {
  readonly hardState?: {
    readonly term: number;
    readonly votedFor: string | undefined;
  };
  /** Index of the first entry to delete before `entries` are appended. */
  readonly truncateFrom?: number;
  readonly entries: readonly LogEntry[];
}

/** I/O that the caller of `RaftNode.step` has to perform. */
export interface RaftEffects {
  readonly persist?: Persist;
  /** Messages that may be sent at once. */
  readonly messages: readonly OutgoingMessage[];
  /** Messages that must not be sent before `persist` is on disk. */
  readonly messagesAfterPersist: readonly OutgoingMessage[];
  /** Newly committed entries, in log order. */
  readonly committedEntries: readonly LogEntry[];
  /** A snapshot from the leader, to be installed before any further event is handled. */
  readonly snapshotToInstall?: {
    readonly index: number;
    readonly term: number;
    readonly voters: Record<string, string>;
    readonly state: Uint8Array;
  };
  /** Set when the role or the known leader changed. */
  readonly roleChange?: {readonly role: string; readonly reason: string};
}
