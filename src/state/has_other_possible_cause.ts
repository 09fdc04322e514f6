import {computePartScope} from '../coordination/requests/compute_part_scope';
import {isPartName} from '../coordination/requests/is_part_name';
import {Suspect} from './suspect';

/**
 * Whether another suspect of the same kind, a request or a part, that isn't convicted was present
 * at each crash of this one, with evidence at least as strong. A part that came with it each time
 * is no other cause: both are judged together.
 *
 * @example
 * const isAmbiguous = hasOtherPossibleCause('part:a@m', suspect, table.list());
 */
export function hasOtherPossibleCause(
  name: string,
  {crashes, holders = []}: Suspect,
  suspects: ReadonlyArray<readonly [string, Suspect]>,
): boolean {
  const {companions} = computePartScope(name, holders);
  return suspects.some(
    ([other, suspect]) =>
      other !== name &&
      isPartName(other) === isPartName(name) &&
      !companions.includes(other) &&
      suspect.standing !== 'convicted' &&
      crashes.every(({incarnation, hadBegun}) =>
        suspect.crashes.some(
          crash =>
            crash.incarnation === incarnation && (hadBegun || !crash.hadBegun),
        ),
      ),
  );
}
