import {BackendView} from './backend_view';
import {EnginePlanInput} from './engine_plan_input';
import {EngineReservation} from './engine_reservation';
import {ModelCounts} from './model_counts';
import {reserveEngines} from './reserve_engines';

/**
 * Reserves hosts for each model that lacks groups and can form none from the free hosts now.
 *
 * @example
 * const reservations = listReservations(input, free, counts);
 */
export function listReservations(
  input: EnginePlanInput,
  free: readonly BackendView[],
  counts: ModelCounts,
): EngineReservation[] {
  if (input.policy?.reservesHosts === false) {
    return [];
  }
  return input.profile.models.flatMap(model => {
    const {name} = model;
    const desired = input.desiredGroups.get(name) ?? 0;
    const lacking = Math.max(
      desired - counts.countGroups(name),
      input.isSaturated(name) ? 1 : 0,
    );
    return reserveEngines(model, free, input, Math.max(0, lacking));
  });
}
