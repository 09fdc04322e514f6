/** Explains why hosts serve nobody. */
import {EngineGroup} from '../../protocol/engine_group';
import {EngineProfile} from '../../protocol/engine_profile';
import {BackendView} from './backend_view';
import {computeReadyMs} from './compute_ready_ms';
import {EnginePlanInput} from './engine_plan_input';
import {IdleHost} from './idle_host';
import {isHeldByUnreachableHead} from './is_held_by_unreachable_head';
import {listFreeEngines} from './list_free_engines';
import {ModelCounts} from './model_counts';

type Model = EngineProfile['models'][number];

/**
 * Lists the hosts that serve nobody, each with the reason. Lost and silent hosts are absent.
 *
 * @example
 * const idle = listIdleHosts(input);
 */
export function listIdleHosts(input: EnginePlanInput): IdleHost[] {
  const free = listFreeEngines(input);
  const counts = ModelCounts.create(input);
  const short = input.profile.models.filter(
    ({name}) => counts.countGroups(name) < (input.desiredGroups.get(name) ?? 0),
  );
  const ready = new Map(
    short.map(model => [model, countReadyByDomain(free, model)]),
  );
  return [
    ...listMembers(input),
    ...free.map(host => ({host, reason: explainFree(host, ready, input)})),
  ];
}

/** Counts the free hosts with the weights of a model, by fabric domain. */
function countReadyByDomain(
  free: readonly BackendView[],
  model: Model,
): ReadonlyMap<string | undefined, number> {
  const counts = new Map<string | undefined, number>();
  for (const host of free) {
    const {domain} = host.registration;
    const isReady = computeReadyMs(host, model) < model.loadMs;
    counts.set(domain, (counts.get(domain) ?? 0) + (isReady ? 1 : 0));
  }
  return counts;
}

/** Lists the members of groups that do not serve. */
function listMembers(input: EnginePlanInput): IdleHost[] {
  const views = new Map(
    input.backends.map(view => [view.registration.incarnation, view]),
  );
  return input.groups.flatMap(group => {
    const reason = explainGroup(group, views, input);
    return group.members.flatMap(({incarnation}) => {
      const host = views.get(incarnation);
      const isAlive = host !== undefined && !input.isLost(incarnation);
      return reason !== undefined && isAlive ? [{host, reason}] : [];
    });
  });
}

/** Returns why a group does not serve; undefined if it does. */
function explainGroup(
  group: EngineGroup,
  views: ReadonlyMap<string, BackendView>,
  input: EnginePlanInput,
): string | undefined {
  if (isHeldByUnreachableHead(group, input)) {
    return `the unreachable head of ${group.name} may still use it`;
  }
  if (group.isEnding) {
    return `${group.name} is taken apart`;
  }
  const head = views.get(group.members[0].incarnation)?.registration.group;
  const isOpen = head?.epoch === group.epoch && head.state === 'open';
  return isOpen ? undefined : `${group.name} is formed`;
}

/** @param ready free hosts with the weights of each model that lacks groups, by domain */
function explainFree(
  host: BackendView,
  ready: ReadonlyMap<Model, ReadonlyMap<string | undefined, number>>,
  input: EnginePlanInput,
): string {
  const {incarnation, stagedModels, domain} = host.registration;
  const loading = input.findLoadingModel(incarnation);
  if (host.loadedModel === undefined && stagedModels.length === 0) {
    return loading === undefined
      ? 'it has no weights and loads none'
      : `it loads ${loading}`;
  }
  const waiting = [...ready]
    .filter(([model]) => computeReadyMs(host, model) < model.loadMs)
    .map(
      ([{name, size}, counts]) =>
        `${counts.get(domain) ?? 0} of ${size} hosts for ${name}`,
    );
  return waiting.length === 0
    ? 'no model that lacks groups has its weights here'
    : `its domain has ${waiting.join(', ')}`;
}
