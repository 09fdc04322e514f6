import {Suspect} from './suspect';

/**
 * Stops taking a part that was proved harmless for a companion of another one.
 *
 * @returns undefined if it was none
 * @example
 * const changed = removePartFromHolders(suspect, 'part:a@m');
 */
export function removePartFromHolders(
  suspect: Suspect,
  part: string,
): Suspect | undefined {
  const {holders = []} = suspect;
  if (!holders.some(({parts}) => parts.includes(part))) {
    return undefined;
  }
  const reduced = holders.map(holder => ({
    ...holder,
    parts: holder.parts.filter(other => other !== part),
  }));
  return {...suspect, holders: reduced};
}
