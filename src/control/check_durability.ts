import {Clock} from '../common/clock';
import {ControlError} from './control_error';
import {ControlSettings} from './control_settings';
import {RaftRuntime} from './raft_runtime';

/** Voters that were to come have come after this long; a start takes two seconds. */
const GROWTH_MS = 6_000;

/** What it is decided from. */
interface CopiesSituation {
  readonly settings: Pick<ControlSettings, 'seeded'>;
  readonly runtime: RaftRuntime;
  readonly clock: Clock;
}

/**
 * Refuses a change that a loss which is to be survived could take back: before the
 * quorum has its size it could take every copy, or leave no majority. Where no more
 * voters come, the copies decide.
 *
 * @throws ControlError telling how many copies are sure
 * @example
 * checkCopies({settings, runtime, clock});
 */
export function checkDurability({
  settings,
  runtime,
  clock,
}: CopiesSituation): void {
  const {raft} = runtime;
  const voters = raft.listVotersAt(raft.commitIndex).size;
  const {voters: wanted = 1, minCopies = 1} = settings.seeded ?? {};
  const copies = Math.floor(voters / 2) + 1;
  const ledMs = clock.now() - runtime.leadingSince;
  const isEnough =
    voters >= wanted || (ledMs > GROWTH_MS && copies >= minCopies);
  if (!isEnough || raft.isChangingVoters) {
    throw new ControlError(
      'the quorum has %d of %d voters, so an entry has %d sure copies of the %d needed',
      voters,
      wanted,
      copies,
      minCopies,
    );
  }
}
