/** Plans when a slow cross-domain group can be replaced with one in a single domain. */
import {EngineGroup} from '../../protocol/engine_group';
import {computeReadyMs} from './compute_ready_ms';
import {EngineAction} from './engine_action';
import {EnginePlanInput} from './engine_plan_input';
import {listFreeEngines} from './list_free_engines';

/** Fabric domains of backend servers, by incarnation. */
type DomainByIncarnation = ReadonlyMap<string, string | undefined>;

/**
 * Ends a cross-domain group if its hosts and the free ones could form a group of the
 * same model in one domain without a load.
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
  const crossDomain = input.groups.find(
    group =>
      !group.isEnding &&
      isCrossDomain(group, domains) &&
      !isNeeded(group, input) &&
      canFitOneDomain(group, input, domains),
  );
  if (!crossDomain) {
    return [];
  }
  const {name, epoch} = crossDomain;
  const reason = 'its hosts and free ones can form a group in one domain';
  return [{type: 'end-group', name, epoch, reason, isMove: true}];
}

/** Checks whether a saturated model has no other group: it would not be served while this one slowly drains. */
function isNeeded(
  {name, model}: EngineGroup,
  {groups, isSaturated}: EnginePlanInput,
): boolean {
  const hasOther = groups.some(
    other => other.model === model && other.name !== name && !other.isEnding,
  );
  return !hasOther && isSaturated(model);
}

function listDomains(
  {members}: EngineGroup,
  domains: DomainByIncarnation,
): string[] {
  return members.flatMap(({incarnation}) => domains.get(incarnation) ?? []);
}

function isCrossDomain(
  group: EngineGroup,
  domains: DomainByIncarnation,
): boolean {
  return new Set(listDomains(group, domains)).size > 1;
}

function canFitOneDomain(
  group: EngineGroup,
  input: EnginePlanInput,
  domainByIncarnation: DomainByIncarnation,
): boolean {
  const model = input.profile.models.find(({name}) => name === group.model);
  if (!model) {
    return false;
  }
  const readyDomains = listFreeEngines(input)
    .filter(host => computeReadyMs(host, model) < model.loadMs)
    .map(host => host.registration.domain ?? '');
  const domains = [...readyDomains, ...listDomains(group, domainByIncarnation)];
  return domains.some(
    domain => domains.filter(other => other === domain).length >= model.size,
  );
}
