import {EvacuationTable} from '../state/evacuation_table';

/**
 * Describes the evacuated zones for a gateway that has another version of them. Gateways
 * of older versions, which name none, get no list.
 *
 * @param knownVersion the version that the gateway has
 * @example
 * const answer = {...describeEvacuations(state.evacuations, poll.evacuationsVersion)};
 */
export function describeEvacuations(
  table: EvacuationTable,
  knownVersion: number | undefined,
) {
  const {version} = table;
  const isNew = (knownVersion ?? version) !== version;
  return {
    evacuationsVersion: version,
    evacuations: isNew ? table.list() : undefined,
  };
}
