import {EngineProfile} from '../../protocol/engine_profile';
import {ModelDemand} from '../../protocol/model_demand';

const MS_PER_SECOND = 1_000;
/**
 * How steeply answers turn late as groups fill up: work comes in clumps, so some are
 * late before the last place is taken, and nearly none at half of it.
 */
const STEEPNESS = 8;
/** Of what full groups answer so much is late. */
const LATE_WHEN_FULL = 0.6;

/** A model without a group is worse off than any other, by a finite figure that can be compared. */
const LEAST_GROUPS = 0.1;

/** Whose answers, and how many groups share the work. */
interface CrowdingInput {
  readonly profile: EngineProfile;
  readonly model: EngineProfile['models'][number];
  readonly demand: ModelDemand;
  readonly groups: number;
}

/**
 * How much a model's answers suffer when so many groups share its work: the part of
 * them that is late, until the groups are full, and more than all beyond, since what
 * they cannot do then waits beside all that comes after.
 *
 * A pass of an engine takes the longer the more requests write in it, and reading
 * prompts takes time from writing. So a group is full when the time that reading and
 * the requests themselves take, and the places that are held meanwhile, use it up.
 *
 * @returns 0 without any demand
 * @example
 * const crowding = computeCrowding({profile, model, demand, groups: 6});
 */
export function estimateLateFraction(input: CrowdingInput): number {
  const {profile, model, demand, groups} = input;
  if (demand.requestsPerSecond <= 0) {
    return 0;
  }
  const {promptTokensPerSecond, answerTokensPerSecond} = demand;
  const reading = promptTokensPerSecond / profile.promptTokensPerSecond;
  const writing =
    (answerTokensPerSecond * profile.stepMsPerRequest) / MS_PER_SECOND;
  const held = (answerTokensPerSecond * profile.stepMs) / MS_PER_SECOND;
  const needed = model.pace * (reading + writing + held / profile.slots);
  return (
    LATE_WHEN_FULL * (needed / Math.max(groups, LEAST_GROUPS)) ** STEEPNESS
  );
}
