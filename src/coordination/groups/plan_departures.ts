/** Plans how groups go on serving while a member that announced its end is replaced. */
import {EngineGroup} from '../../protocol/engine_group';
import {BackendView} from './backend_view';
import {computeReadyMs} from './compute_ready_ms';
import {createMemoryLoad} from './create_memory_load';
import {EngineAction} from './engine_action';
import {EnginePlanInput} from './engine_plan_input';
import {listFreeEngines} from './list_free_engines';

/** Part of the silence that excludes a host from groups after which a leaving one counts as gone; it covers a lost registration. */
const GONE_AFTER_FRACTION = 2 / 3;

/** Groups with a leaving member. */
interface DeparturePlan {
  /** Groups that go on serving, by name: their replacement is not ready. */
  readonly kept: ReadonlySet<string>;
  /** Free hosts that are kept for them. */
  readonly replacements: ReadonlySet<string>;
  /** Orders that load the model into the memory of these hosts. */
  readonly orders: readonly EngineAction[];
}

/**
 * Keeps an open group whose leaving members are not its head until free hosts of its domain
 * have its model in memory, or the members are gone. Callers' requests reach only the head,
 * and the members stay until its requests have ended.
 *
 * @example
 * const {kept, replacements, orders} = planDepartures(input);
 */
export function planDepartures(input: EnginePlanInput): DeparturePlan {
  const kept = new Set<string>();
  const replacements = new Set<string>();
  const orders: EngineAction[] = [];
  const departing = input.groups.filter(
    group => listLeaving(group, input).length > 0,
  );
  if (departing.length === 0) {
    return {kept, replacements, orders};
  }
  const free = listFreeEngines(input);
  const views = new Map(
    input.backends.map(view => [view.registration.incarnation, view]),
  );
  for (const group of departing.filter(one => canStay(one, views, input))) {
    const model = input.profile.models.find(({name}) => name === group.model);
    const needed = listLeaving(group, input).length;
    if (!model) {
      continue;
    }
    const hosts = free
      .filter(
        host =>
          host.registration.domain === group.domain &&
          !replacements.has(host.registration.incarnation) &&
          computeReadyMs(host, model) < model.loadMs,
      )
      .sort(
        (left, right) =>
          computeReadyMs(left, model) - computeReadyMs(right, model),
      )
      .slice(0, needed);
    const cold = hosts.filter(host => host.loadedModel !== model.name);
    if (hosts.length < needed || cold.length > 0) {
      kept.add(group.name);
    }
    if (hosts.length === needed) {
      hosts.forEach(host => replacements.add(host.registration.incarnation));
      orders.push(
        ...cold
          .filter(({registration}) => registration.group?.state !== 'joining')
          .map(host => createMemoryLoad(host, model, input)),
      );
    }
  }
  return {kept, replacements, orders};
}

/** Checks whether a group is open and neither its head nor a silent member is leaving. */
function canStay(
  group: EngineGroup,
  views: ReadonlyMap<string, BackendView>,
  input: EnginePlanInput,
): boolean {
  const [head] = group.members;
  const reported = views.get(head.incarnation)?.registration.group;
  const isOpen =
    reported?.name === group.name &&
    reported.epoch === group.epoch &&
    reported.state === 'open';
  return (
    isOpen &&
    !group.isEnding &&
    !input.isRetired(head.incarnation) &&
    listLeaving(group, input).every(incarnation =>
      isHeard(views.get(incarnation), input),
    )
  );
}

function isHeard(
  view: BackendView | undefined,
  {now, silentAfterMs}: EnginePlanInput,
): boolean {
  return (
    view !== undefined &&
    now - view.seenAt < silentAfterMs * GONE_AFTER_FRACTION
  );
}

function listLeaving({members}: EngineGroup, input: EnginePlanInput): string[] {
  return members
    .map(({incarnation}) => incarnation)
    .filter(incarnation => input.isRetired(incarnation));
}
