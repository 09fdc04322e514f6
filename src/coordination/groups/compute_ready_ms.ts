import {EngineProfile} from '../../protocol/engine_profile';
import {BackendView} from './backend_view';

/** A join of a model that the engine held last; the engines' own figure. */
const HELD_JOIN_MS = 200;

/**
 * How long a host takes to be ready for a model, in milliseconds.
 *
 * @example
 * const readyMs = computeReadyMs(host, model);
 */
export function computeReadyMs(
  {registration, loadedModel: heldModel}: BackendView,
  model: EngineProfile['models'][number],
): number {
  if (heldModel === model.name) {
    return HELD_JOIN_MS;
  }
  return registration.stagedModels.includes(model.name)
    ? model.warmMs
    : model.loadMs;
}
