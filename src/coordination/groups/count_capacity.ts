import {EnginePlanInput} from './engine_plan_input';
import {isCrossDomain} from './is_cross_domain';
import {listHostDomains} from './list_host_domains';

/** Used where the profile does not say how much slower a group of several domains is. */
const DEFAULT_SLOWDOWN = 1;

/**
 * Counts the groups of each model that are not ending; one over several fabric domains
 * counts in part, as it is slower.
 *
 * @example
 * const capacity = countCapacity(input);
 */
export function countCapacity(input: EnginePlanInput): Map<string, number> {
  const {profile, groups, backends} = input;
  const domains = listHostDomains(backends);
  const slow = 1 / (profile.crossDomainSlowdown ?? DEFAULT_SLOWDOWN);
  const capacity = new Map<string, number>();
  for (const group of groups.filter(({isEnding}) => !isEnding)) {
    const part = isCrossDomain(group, domains) ? slow : 1;
    capacity.set(group.model, (capacity.get(group.model) ?? 0) + part);
  }
  return capacity;
}
