import {BackendView} from './backend_view';
import {EnginePlanInput} from './engine_plan_input';

/**
 * Lists the engines that are healthy, in no committed group, not kept for one and not leaving. The
 * order is fixed, so that plans are deterministic.
 *
 * @example
 * const free = listFreeEngines(input);
 */
export function listFreeEngines(input: EnginePlanInput): BackendView[] {
  const assigned = new Set(
    input.groups.flatMap(group =>
      group.members.map(member => member.incarnation),
    ),
  );
  return input.backends
    .filter(({registration, seenAt}) => {
      const {incarnation, domain, group} = registration;
      const isServing = group?.state === 'open' || group?.state === 'closing';
      return (
        domain !== undefined &&
        !isServing &&
        !assigned.has(incarnation) &&
        !input.replacements?.has(incarnation) &&
        !input.isRetired(incarnation) &&
        !input.isLost(incarnation) &&
        input.now - seenAt < input.silentAfterMs
      );
    })
    .sort(compareIncarnations);
}

function compareIncarnations(left: BackendView, right: BackendView): number {
  return left.registration.incarnation < right.registration.incarnation
    ? -1
    : 1;
}
