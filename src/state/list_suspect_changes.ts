import {computePartScope} from '../coordination/requests/compute_part_scope';
import {isPartName} from '../coordination/requests/is_part_name';
import {SuspectPart} from '../protocol/suspect_part';
import {SuspectUpdate} from '../protocol/suspect_update';
import {Suspect} from './suspect';

type Entry = readonly [string, Suspect];

/**
 * Describes suspects to gateways: requests that are restricted, and all parts of prompts, since a
 * response that begins proves them harmless.
 *
 * @example
 * const {suspected, convicted, parts} = listSuspectChanges(entries);
 */
export function listSuspectChanges(
  entries: readonly Entry[],
): Pick<SuspectUpdate, 'suspected' | 'convicted' | 'parts'> {
  const requests = entries.filter(([name]) => !isPartName(name));
  const parts = entries.filter(([name]) => isPartName(name));
  const listAs = (wanted: Suspect['standing']) =>
    requests.flatMap(([name, {standing}]) =>
      standing === wanted ? [name] : [],
    );
  return {
    suspected: listAs('suspected'),
    convicted: listAs('convicted'),
    ...(parts.length > 0 ? {parts: parts.map(describePart)} : {}),
  };
}

function describePart([name, {standing, holders = []}]: Entry): SuspectPart {
  const {companions, caller} = computePartScope(name, holders);
  return {name, standing, companions: [...companions], caller};
}
