/**
 * Keeps free hosts for a model that lacks groups and cannot form one yet. A
 * model on few hosts finds a place almost anywhere and would otherwise take
 * each free host before a model on many has enough of them in one domain.
 */
import {EngineProfile} from '../../protocol/engine_profile';
import {BackendView} from './backend_view';
import {computeReadyMs} from './compute_ready_ms';
import {EnginePlanInput} from './engine_plan_input';
import {EngineReservation} from './engine_reservation';
import {isHeldByUnreachableHead} from './is_held_by_unreachable_head';

type Model = EngineProfile['models'][number];

/**
 * Reserves hosts in the domain where the least is missing for a group of the
 * model; undefined where no domain has enough, loads included.
 *
 * @param free hosts that no group of the plan has taken
 * @example
 * const reservation = reserveEngines(model, free, input);
 */
export function reserveEngines(
  model: Model,
  free: readonly BackendView[],
  input: EnginePlanInput,
): EngineReservation | undefined {
  const leaving = listLeaving(input);
  const held = input.policy?.reservesHeldHosts === false ? [] : listHeld(input);
  const options = listDomains([...free, ...leaving, ...held])
    .map(domain =>
      createOption(model, domain, free, [...leaving, ...held], input),
    )
    .filter(({possible}) => possible >= model.size)
    .sort(
      (left, right) =>
        right.ready - left.ready ||
        right.possible - left.possible ||
        (left.domain < right.domain ? -1 : 1),
    );
  const [best] = options;
  return best && {model, domain: best.domain, hosts: best.hosts};
}

function createOption(
  model: Model,
  domain: string,
  free: readonly BackendView[],
  leaving: readonly BackendView[],
  input: EnginePlanInput,
) {
  const isHere = ({registration}: BackendView) =>
    registration.domain === domain;
  const own = free
    .filter(isHere)
    .sort((left, right) => computeDistance(left) - computeDistance(right));
  const soon = leaving.filter(isHere).slice(0, model.size);
  const hosts = own.slice(0, model.size - soon.length);
  const isReady = (host: BackendView) =>
    computeReadyMs(host, model) < model.loadMs;
  const ready = [...hosts, ...soon].filter(isReady).length;
  return {domain, hosts, ready, possible: own.length + soon.length};

  /** Those that have the model come first, then those that are loading it, then empty ones. */
  function computeDistance(host: BackendView): number {
    const isLoading =
      input.findLoading(host.registration.incarnation) === model.name;
    return isLoading ? model.warmMs * 2 : computeReadyMs(host, model);
  }
}

/** Members of groups that are being taken apart and whose head can be asked. */
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
 * Members of groups whose silent head is about to let go, for some five seconds:
 * less than the load that a host needs which went to another model meanwhile.
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

function listDomains(hosts: readonly BackendView[]): string[] {
  return [...new Set(hosts.map(host => host.registration.domain ?? ''))];
}
