/** Decides when a slow group over several domains can give way to a near one. */
import {EngineGroup} from '../../protocol/engine_group';
import {computeReadyMs} from './compute_ready_ms';
import {EngineAction} from './engine_action';
import {EnginePlanInput} from './engine_plan_input';
import {listFreeEngines} from './list_free_engines';

/**
 * Ends groups over several domains whose hosts, with the free ones, could form
 * a group of the same model within one domain and without a load.
 *
 * @example
 * const actions = planUpgrades(input);
 */
export function planUpgrades(input: EnginePlanInput): EngineAction[] {
  const far = input.groups.find(
    group =>
      !group.isEnding &&
      isFar(group, input) &&
      !isNeeded(group, input) &&
      canBeNear(group, input),
  );
  if (!far) {
    return [];
  }
  const {name, epoch} = far;
  const reason = 'its hosts and free ones can form a group in one domain';
  return [{type: 'end-group', name, epoch, reason, isMove: true}];
}

/** A slow group finishes its work slowly; meanwhile nobody would serve a model that has no other. */
function isNeeded(
  {name, model}: EngineGroup,
  {groups, isPressed}: EnginePlanInput,
): boolean {
  const hasOther = groups.some(
    other => other.model === model && other.name !== name && !other.isEnding,
  );
  return !hasOther && isPressed(model);
}

function listDomains(group: EngineGroup, input: EnginePlanInput): string[] {
  return group.members.flatMap(({incarnation}) => {
    const view = input.backends.find(
      known => known.registration.incarnation === incarnation,
    );
    return view?.registration.domain ?? [];
  });
}

function isFar(group: EngineGroup, input: EnginePlanInput): boolean {
  return new Set(listDomains(group, input)).size > 1;
}

function canBeNear(group: EngineGroup, input: EnginePlanInput): boolean {
  const model = input.profile.models.find(({name}) => name === group.model);
  if (!model) {
    return false;
  }
  const ready = listFreeEngines(input)
    .filter(host => computeReadyMs(host, model) < model.loadMs)
    .map(host => host.registration.domain ?? '');
  const domains = [...ready, ...listDomains(group, input)];
  return domains.some(
    domain => domains.filter(other => other === domain).length >= model.size,
  );
}
