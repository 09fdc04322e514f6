import {EngineProfile} from '../../protocol/engine_profile';
import {ModelDemand} from '../../protocol/model_demand';

const MS_PER_SECOND = 1_000;

/** A model and its demand. */
interface BusyGroupsInput {
  readonly profile: EngineProfile;
  readonly model: EngineProfile['models'][number];
  readonly demand: ModelDemand;
}

/**
 * Computes how many groups a model's demand keeps fully busy.
 *
 * An engine's pass takes longer the more requests decode in it, and prefill takes
 * time from decoding. A group is therefore at capacity when the time for prefill,
 * the time that each request adds, and the occupied slots use it up.
 *
 * @returns a fraction of a group for a low demand
 * @example
 * const busyGroups = computeBusyGroups({profile, model, demand});
 */
export function computeBusyGroups({
  profile,
  model,
  demand,
}: BusyGroupsInput): number {
  const {promptTokensPerSecond, answerTokensPerSecond} = demand;
  const prefillLoad = promptTokensPerSecond / profile.promptTokensPerSecond;
  const decodeLoad =
    (answerTokensPerSecond * profile.stepMsPerRequest) / MS_PER_SECOND;
  const occupiedSlots =
    (answerTokensPerSecond * profile.stepMs) / MS_PER_SECOND;
  return (
    model.pace * (prefillLoad + decodeLoad + occupiedSlots / profile.slots)
  );
}
