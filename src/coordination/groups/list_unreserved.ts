import {EngineProfile} from '../../protocol/engine_profile';
import {BackendView} from './backend_view';
import {computeReadyMs} from './compute_ready_ms';
import {EnginePlanInput} from './engine_plan_input';
import {EngineReservation} from './engine_reservation';
import {isBelowDesired} from './is_below_desired';
import {isOvertakenBy} from './is_overtaken_by';
import {ModelCounts} from './model_counts';

type Model = EngineProfile['models'][number];

/**
 * Lists the free hosts that a model may use. Those reserved for a model with greater need
 * are left out; a model that has its desired groups also leaves all hosts with the weights
 * of such a model, which often wait for one more host of their domain.
 *
 * @example
 * const hosts = listUnreserved(model, free, counts, reservations, input);
 */
export function listUnreserved(
  model: Model,
  free: readonly BackendView[],
  counts: ModelCounts,
  reservations: readonly EngineReservation[],
  input: EnginePlanInput,
): BackendView[] {
  const hostsPerShare = counts.computeHostsPerShare(model);
  const isNeedier = (other: Model) =>
    isOvertakenBy(other.name, model.name, counts, input) ||
    (counts.computeHostsPerShare(other) < hostsPerShare &&
      !isOvertakenBy(model.name, other.name, counts, input));
  const reserved = new Set(
    reservations
      .filter(({model: other}) => isNeedier(other))
      .flatMap(({hosts}) => hosts),
  );
  const waiting = isBelowDesired(model, input, counts)
    ? []
    : input.profile.models.filter(
        other => isBelowDesired(other, input, counts) && isNeedier(other),
      );
  return free.filter(
    host =>
      !reserved.has(host) &&
      !waiting.some(other => computeReadyMs(host, other) < other.loadMs),
  );
}
