import {isPartName} from '../coordination/requests/is_part_name';
import {Suspect} from './suspect';

/**
 * Lists the incarnations that crashed while they ran a request with a part that may be the cause.
 *
 * @example
 * const explained = new Set(listCrashesWithParts(table.list()));
 */
export function listCrashesWithParts(
  suspects: ReadonlyArray<readonly [string, Suspect]>,
): string[] {
  return suspects
    .filter(([name]) => isPartName(name))
    .flatMap(([, {crashes}]) => crashes.map(({incarnation}) => incarnation));
}
