/**
 * Reserves free hosts for a model that lacks groups and cannot form one yet. A model
 * with small groups fits almost anywhere, and without reservations it would take each
 * free host before a model with large groups has enough of them in one domain.
 */
import {EngineProfile} from '../../protocol/engine_profile';
import {BackendView} from './backend_view';
import {computeReadyMs} from './compute_ready_ms';
import {EnginePlanInput} from './engine_plan_input';
import {EngineReservation} from './engine_reservation';
import {splitByDomain} from './split_by_domain';
import {isHeldByUnreachableHead} from './is_held_by_unreachable_head';

type Model = EngineProfile['models'][number];

/**
 * Reserves hosts in the domains that are closest to a complete group of the model; none in
 * a domain that has not enough hosts, including those that would have to load.
 *
 * @param free hosts that are in no group of the plan
 * @param groups number of groups that the model lacks
 * @example
 * const reservations = reserveEngines(model, free, input, 1);
 */
export function reserveEngines(
  model: Model,
  free: readonly BackendView[],
  input: EnginePlanInput,
  groups: number,
): EngineReservation[] {
  const leaving = listLeaving(input);
  const held = input.policy?.reservesHeldHosts === false ? [] : listHeld(input);
  const freeByDomain = splitByDomain(free);
  const soonByDomain = splitByDomain([...leaving, ...held]);
  const domains = new Set([...freeByDomain.keys(), ...soonByDomain.keys()]);
  const options = [...domains]
    .map(domain =>
      createOption(
        model,
        domain,
        freeByDomain.get(domain) ?? [],
        soonByDomain.get(domain) ?? [],
        input,
      ),
    )
    .filter(({possible}) => possible >= model.size)
    .sort(
      (left, right) =>
        right.ready - left.ready ||
        right.possible - left.possible ||
        (left.domain < right.domain ? -1 : 1),
    );
  return options
    .slice(0, groups)
    .map(({domain, hosts}) => ({model, domain, hosts}));
}

function createOption(
  model: Model,
  domain: string,
  free: readonly BackendView[],
  leaving: readonly BackendView[],
  input: EnginePlanInput,
) {
  const freeHere = [...free].sort(
    (left, right) => computeOrder(left) - computeOrder(right),
  );
  const availableSoon = leaving.slice(0, model.size);
  const hosts = freeHere.slice(0, model.size - availableSoon.length);
  const hasWeights = (host: BackendView) =>
    computeReadyMs(host, model) < model.loadMs;
  const ready = [...hosts, ...availableSoon].filter(hasWeights).length;
  return {
    domain,
    hosts,
    ready,
    possible: freeHere.length + availableSoon.length,
  };

  /** Sort key: hosts that have the model come first, then hosts that are loading it, then empty ones. */
  function computeOrder(host: BackendView): number {
    const isLoading =
      input.findLoadingModel(host.registration.incarnation) === model.name;
    return isLoading ? model.warmMs * 2 : computeReadyMs(host, model);
  }
}

/** Lists members of ending groups whose head can be asked to release them. */
function listLeaving(input: EnginePlanInput): BackendView[] {
  const leaving = new Set(
    input.groups
      .filter(group => group.isEnding && !isHeldByUnreachableHead(group, input))
      .flatMap(({members}) => members.map(member => member.incarnation)),
  );
  return input.backends.filter(
    ({registration: {incarnation}}) =>
      leaving.has(incarnation) &&
      !input.isLost(incarnation) &&
      !input.isRetired(incarnation),
  );
}

/**
 * Lists members of groups that an unreachable head still holds. They are available
 * within about five seconds, sooner than a host could load another model.
 */
function listHeld(input: EnginePlanInput): BackendView[] {
  const held = new Set(
    input.groups
      .filter(group => isHeldByUnreachableHead(group, input))
      .flatMap(({members}) =>
        members.slice(1).map(member => member.incarnation),
      ),
  );
  return input.backends.filter(
    ({registration: {incarnation}}) =>
      held.has(incarnation) &&
      !input.isLost(incarnation) &&
      !input.isRetired(incarnation),
  );
}
