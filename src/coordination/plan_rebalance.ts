/** Decides when a group gives up its hosts for a model that lacks them more. */
import {EngineGroup} from '../protocol/engine_group';
import {EngineProfile} from '../protocol/engine_profile';
import {computeReadyMs} from './compute_ready_ms';
import {EngineAction} from './engine_action';
import {EnginePlanInput} from './engine_plan_input';
import {listFreeEngines} from './list_free_engines';

/** Part of its usual groups that a model keeps when it gives hosts away. */
const KEPT_SHARE = 0.6;

type Model = EngineProfile['models'][number];

/**
 * Ends one group of a model that has more hosts for its share of the work than
 * another, of which requests are refused, if its hosts and the free ones of
 * their domain can then form a group of that other without a load.
 *
 * @example
 * const actions = planRebalance(input);
 */
export function planRebalance(input: EnginePlanInput): EngineAction[] {
  const {profile, groups} = input;
  if (!input.mayRebalance || groups.some(group => group.isEnding)) {
    return [];
  }
  for (const model of profile.models.filter(({name}) =>
    input.isPressed(name),
  )) {
    const donor = groups.find(
      group =>
        group.model !== model.name &&
        isBetterOff(group, model, input) &&
        canHelp(group, model, input),
    );
    if (donor) {
      const {name, epoch} = donor;
      const reason = `${model.name} refuses requests and has fewer hosts for its share`;
      return [{type: 'end-group', name, epoch, reason}];
    }
  }
  return [];
}

function countHosts(model: Model, groups: readonly EngineGroup[]): number {
  return groups.filter(group => group.model === model.name).length * model.size;
}

/**
 * Still after it gave up one group. A model whose own requests find places may
 * also give when it has more than it usually needs to keep.
 */
function isBetterOff(
  group: EngineGroup,
  needy: Model,
  {profile, groups, peaks, isPressed}: EnginePlanInput,
): boolean {
  const model = profile.models.find(({name}) => name === group.model);
  if (!model) {
    return false;
  }
  const left = countHosts(model, groups) - model.size;
  const kept = (peaks.get(model.name) ?? 0) * model.size * KEPT_SHARE;
  const isAtEase = !isPressed(model.name) && left >= kept;
  const needyRank = countHosts(needy, groups) / needy.share;
  return isAtEase || left / model.share > needyRank;
}

function canHelp(
  group: EngineGroup,
  model: Model,
  input: EnginePlanInput,
): boolean {
  const members = new Set(group.members.map(member => member.incarnation));
  const own = input.backends.filter(({registration}) =>
    members.has(registration.incarnation),
  );
  const ready = [...own, ...listFreeEngines(input)].filter(
    host =>
      host.registration.domain === group.domain &&
      computeReadyMs(host, model) < model.loadMs,
  );
  return ready.length >= model.size;
}
