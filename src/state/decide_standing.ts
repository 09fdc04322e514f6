import {decideCrashVerdict} from '../coordination/requests/decide_crash_verdict';
import {decidePartVerdict} from '../coordination/requests/decide_part_verdict';
import {isPartName} from '../coordination/requests/is_part_name';
import {CrashRecords} from './crash_records';
import {hasOtherPossibleCause} from './has_other_possible_cause';
import {listCrashesWithParts} from './list_crashes_with_parts';
import {Suspect} from './suspect';

interface StandingInput {
  readonly name: string;
  readonly suspect: Suspect;
  readonly suspects: ReadonlyArray<readonly [string, Suspect]>;
  readonly crashes: CrashRecords;
  /** Committed wall-clock milliseconds. */
  readonly now: number;
}

/**
 * Decides the standing of a request, or of a part of prompts, from the evidence against it.
 *
 * @example
 * const standing = decideStanding({name, suspect, suspects: table.list(), crashes, now});
 */
export function decideStanding(input: StandingInput): Suspect['standing'] {
  const {name, suspect, suspects, crashes, now} = input;
  const {crashes: ownCrashes, holders = []} = suspect;
  const own = ownCrashes.map(({incarnation}) => incarnation);
  const isAmbiguous = hasOtherPossibleCause(name, suspect, suspects);
  if (isPartName(name)) {
    const explained = new Set([...own, ...listCrashesWithParts(suspects)]);
    const otherCrashTimes = crashes.listUnexplainedTimes(explained);
    const evidence = {crashes: ownCrashes, holders};
    return decidePartVerdict({...evidence, otherCrashTimes, isAmbiguous});
  }
  const otherCrashTimes = crashes.listUnexplainedTimes(new Set(own));
  return decideCrashVerdict({ownCrashes, now, otherCrashTimes, isAmbiguous});
}
