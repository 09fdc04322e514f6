import {ControlCommand} from '../../protocol/control_command';
import {RaftMessage} from '../../protocol/raft_message';

/** Input events of a Raft node. */
export type RaftEvent =
  | {readonly type: 'tick'}
  | {
      readonly type: 'message';
      readonly from: string;
      readonly message: RaftMessage;
    }
  | {readonly type: 'propose'; readonly commands: readonly ControlCommand[]}
  /** The log up to the entry with this index and term is on disk. */
  | {readonly type: 'persisted'; readonly index: number; readonly term: number}
  /** A snapshot up to this index is on disk, so that the log before it can be dropped. */
  | {readonly type: 'compact'; readonly index: number};
