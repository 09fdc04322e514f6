import {Clock} from '../common/clock';
import {ControlError} from './control_error';
import {ControlSettings} from './control_settings';
import {RaftRuntime} from './raft_runtime';

/** Expected voters have joined a new leader by then; starting a process takes two seconds. */
const QUORUM_GROWTH_MS = 6_000;
/** A quorum that is not formed from seeds has its full size from the start. */
const UNSEEDED = {voters: 1, minCopies: 1};

/** What the check depends on. */
interface DurabilityInput {
  readonly settings: Pick<ControlSettings, 'seeded'>;
  readonly runtime: RaftRuntime;
  readonly clock: Clock;
}

/**
 * Refuses a change that could be lost with as many processes as the quorum must tolerate:
 * until it has its full size, such a failure could destroy every copy of an entry, or the
 * majority. After `QUORUM_GROWTH_MS` a smaller quorum will do if a majority of it holds
 * `minCopies`.
 *
 * @throws ControlError with the number of guaranteed copies
 * @example
 * checkDurability({settings, runtime, clock});
 */
export function checkDurability({
  settings,
  runtime,
  clock,
}: DurabilityInput): void {
  const {raft} = runtime;
  const {seeded = UNSEEDED} = settings;
  if (seeded.voters === undefined || seeded.minCopies === undefined) {
    throw new ControlError(
      'the settings do not say how many failures the quorum must tolerate',
    );
  }
  const voters = raft.listVotersAt(raft.commitIndex).size;
  const {voters: wanted, minCopies} = seeded;
  const copies = Math.floor(voters / 2) + 1;
  const leadingMs = clock.now() - runtime.leadingSince;
  const isDurable =
    voters >= wanted || (leadingMs > QUORUM_GROWTH_MS && copies >= minCopies);
  if (!isDurable || raft.isChangingVoters) {
    throw new ControlError(
      'the quorum has %d of %d voters, which guarantees %d copies of an entry where %d are required',
      voters,
      wanted,
      copies,
      minCopies,
    );
  }
}
