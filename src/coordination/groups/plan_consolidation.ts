/** Decides when a slow group over several domains can give way to a near one. */
import {EngineGroup} from '../../protocol/engine_group';
import {computeReadyMs} from './compute_ready_ms';
import {EngineAction} from './engine_action';
import {EnginePlanInput} from './engine_plan_input';
import {listFreeEngines} from './list_free_engines';

/** Fabric domains of backend servers, by incarnation. */
type Domains = ReadonlyMap<string, string | undefined>;

/**
 * Ends groups over several domains whose hosts, with the free ones, could form
 * a group of the same model within one domain and without a load.
 *
 * @example
 * const actions = planConsolidation(input);
 */
export function planConsolidation(input: EnginePlanInput): EngineAction[] {
  const domains = new Map(
    input.backends.map(({registration}) => [
      registration.incarnation,
      registration.domain,
    ]),
  );
  const far = input.groups.find(
    group =>
      !group.isEnding &&
      isFar(group, domains) &&
      !isNeeded(group, input) &&
      canBeNear(group, input, domains),
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

function listDomains({members}: EngineGroup, domains: Domains): string[] {
  return members.flatMap(({incarnation}) => domains.get(incarnation) ?? []);
}

function isFar(group: EngineGroup, domains: Domains): boolean {
  return new Set(listDomains(group, domains)).size > 1;
}

function canBeNear(
  group: EngineGroup,
  input: EnginePlanInput,
  known: Domains,
): boolean {
  const model = input.profile.models.find(({name}) => name === group.model);
  if (!model) {
    return false;
  }
  const ready = listFreeEngines(input)
    .filter(host => computeReadyMs(host, model) < model.loadMs)
    .map(host => host.registration.domain ?? '');
  const domains = [...ready, ...listDomains(group, known)];
  return domains.some(
    domain => domains.filter(other => other === domain).length >= model.size,
  );
}
