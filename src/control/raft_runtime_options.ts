import {Clock} from '../common/clock';
import {LeaseClock} from '../common/lease_clock';
import {Timers} from '../common/timers';
import {RaftTiming} from '../coordination/agreement/raft_timing';
import {RaftMessage} from '../protocol/raft_message';
import {ControlDataFolder} from '../state/control_data_folder';

/** Dependencies and callbacks of the runtime. */
export interface RaftRuntimeOptions {
  readonly disk: ControlDataFolder;
  readonly clock: Clock;
  /** Reports suspensions of the machine, which `clock` does not count. */
  readonly leaseClock?: Pick<LeaseClock, 'pausedAt'>;
  readonly timers?: Timers;
  readonly timing: RaftTiming;
  readonly random: () => number;
  /** Start time of this process, on `clock`. */
  readonly startedAt?: number;
  readonly send: (to: string, message: RaftMessage) => void;
  /** Called when the disk failed. The process must stop; all it acknowledged is durable. */
  readonly onFailure: (error: Error) => void;
  /** Called when the disk is full; the write is retried until it succeeds. */
  readonly onDiskFull?: (error: Error) => void;
  readonly snapshotEvery?: number;
  /** Called when bundles or groups may have changed, or the role changed. */
  readonly onChange: () => void;
}
