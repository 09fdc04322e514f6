import {EnginePlanInput} from './engine_plan_input';

/** No model of any profile has this name, so such a group counts for none and donates no hosts. */
const NO_MODEL = '';

type Input = Omit<EnginePlanInput, 'desiredGroups'>;

/**
 * Returns the input without the engines in evacuated availability zones, for decisions on
 * where groups form and which hosts move. Groups whose head is there still hold their
 * members, but count as groups of no model: they get no requests.
 *
 * @example
 * const {actions} = planEngineFormation(dropEvacuated(input));
 */
export function dropEvacuated<T extends Input>(input: T): T {
  const {isEvacuated} = input;
  const evacuated = new Set(
    input.backends
      .filter(({registration}) => isEvacuated?.(registration.zone))
      .map(({registration}) => registration.incarnation),
  );
  if (evacuated.size === 0) {
    return input;
  }
  return {
    ...input,
    backends: input.backends.filter(
      ({registration}) => !evacuated.has(registration.incarnation),
    ),
    groups: input.groups.map(group =>
      evacuated.has(group.members[0].incarnation)
        ? {...group, model: NO_MODEL}
        : group,
    ),
  };
}
