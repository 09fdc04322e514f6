import {EngineProfile} from '../../protocol/engine_profile';
import {BackendView} from './backend_view';

/** Time to join a group of the model that is still in memory, as the engines state it. */
const LOADED_JOIN_MS = 200;

/**
 * Returns the milliseconds until a host can serve a model: from memory, from its own
 * disk, or from the weight store.
 *
 * @example
 * const readyMs = computeReadyMs(host, model);
 */
export function computeReadyMs(
  {registration, loadedModel}: BackendView,
  model: EngineProfile['models'][number],
): number {
  if (loadedModel === model.name) {
    return LOADED_JOIN_MS;
  }
  return registration.stagedModels.includes(model.name)
    ? model.warmMs
    : model.loadMs;
}
