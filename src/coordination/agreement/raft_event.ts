import {ControlCommand} from '../../protocol/control_command';
import {RaftMessage} from '../../protocol/raft_message';

/** What happens to a node of the agreement. */
export type RaftEvent =
  | {readonly type: 'tick'}
  | {
      readonly type: 'message';
      readonly from: string;
      readonly message: RaftMessage;
    }
  | {readonly type: 'propose'; readonly commands: readonly ControlCommand[]}
  /** What was to be persisted up to this point is on disk. */
  | {readonly type: 'persisted'; readonly index: number; readonly term: number}
  /** A snapshot up to this entry is on disk. */
  | {readonly type: 'compact'; readonly index: number};
