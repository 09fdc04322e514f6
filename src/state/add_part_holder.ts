import {PartHolder} from '../coordination/requests/part_holder';
import {Suspect} from './suspect';

/** Requests remembered for each part; a verdict follows after a few crashes. */
const MAX_HOLDERS = 16;

/**
 * Adds a request that held a part when its backend server crashed.
 *
 * @returns undefined if it is known, or enough others are
 * @example
 * const changed = addPartHolder(suspect, {incarnation: 'i1', request: 'p', parts: ['part:a@m']});
 */
export function addPartHolder(
  suspect: Suspect,
  {incarnation, request, parts}: PartHolder,
): Suspect | undefined {
  const {holders = []} = suspect;
  const isKnown = holders.some(
    known => known.incarnation === incarnation && known.request === request,
  );
  if (isKnown || holders.length >= MAX_HOLDERS) {
    return undefined;
  }
  const added = {incarnation, request, parts: [...parts]};
  return {...suspect, holders: [...holders, added]};
}
