/** Plans when a slow cross-domain group can be replaced with one in a single domain. */
import {EngineGroup} from '../../protocol/engine_group';
import {computeReadyMs} from './compute_ready_ms';
import {countCapacity} from './count_capacity';
import {EngineAction} from './engine_action';
import {EnginePlanInput} from './engine_plan_input';
import {isCrossDomain} from './is_cross_domain';
import {isMoveWorthwhile} from './is_move_worthwhile';
import {listFreeEngines} from './list_free_engines';
import {listHostDomains} from './list_host_domains';

/** Fabric domains of backend servers, by incarnation. */
type DomainByIncarnation = ReadonlyMap<string, string | undefined>;

/**
 * Ends a cross-domain group if its hosts and the free ones could form a group of the
 * same model in one domain without a load, and that brings more than the end costs.
 *
 * @example
 * const actions = planConsolidation(input);
 */
export function planConsolidation(input: EnginePlanInput): EngineAction[] {
  const domains = listHostDomains(input.backends);
  const crossDomain = input.groups.find(
    group =>
      !group.isEnding &&
      isCrossDomain(group, domains) &&
      canFitOneDomain(group, input, domains) &&
      (input.forecast && input.profile.crossDomainSlowdown
        ? isWorthwhile(group, input)
        : !isNeeded(group, input)),
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

/** Weighs the full speed of the new group against the time without any. */
function isWorthwhile({model}: EngineGroup, input: EnginePlanInput): boolean {
  const {profile, forecast, estimateLifetimeMs} = input;
  const {crossDomainSlowdown = 1, openMs, models} = profile;
  const size = models.find(({name}) => name === model)?.size ?? 1;
  const before = countCapacity(input);
  const without = (before.get(model) ?? 0) - 1 / crossDomainSlowdown;
  const drainMs = forecast?.estimateDrainMs(model) ?? 0;
  const move = {
    before,
    during: new Map(before).set(model, without),
    after: new Map(before).set(model, without + 1),
    movingMs: drainMs * crossDomainSlowdown + openMs,
    lifetimeMs: estimateLifetimeMs?.(size) ?? Infinity,
  };
  return isMoveWorthwhile(move, input);
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
