import {computePartScope} from '../coordination/requests/compute_part_scope';
import {Suspect} from './suspect';

type Entry = readonly [string, Suspect];

/**
 * Whether crashes of a convicted suspect still count against another one: that is convicted
 * itself, is held by the convicted request, or came with the convicted part each time.
 *
 * @example
 * const keepsEvidence = hasCommonCause(['part:a@m', suspect], ['p', convicted]);
 */
export function hasCommonCause(
  [other, {standing, holders = []}]: Entry,
  [name, convicted]: Entry,
): boolean {
  const {companions} = computePartScope(name, convicted.holders ?? []);
  return (
    standing === 'convicted' ||
    holders.some(({request}) => request === name) ||
    companions.includes(other)
  );
}
