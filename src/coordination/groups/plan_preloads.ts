/**
 * Plans which weights hosts load in advance. A host has one model in memory and
 * others on its own disk, so with two models every host can serve either within one
 * or two seconds. After any loss, the remaining hosts can then be regrouped without
 * reading from the weight store.
 */
import {EngineProfile} from '../../protocol/engine_profile';
import {BackendView} from './backend_view';
import {createMemoryLoad} from './create_memory_load';
import {EngineAction} from './engine_action';
import {ModelCounts} from './model_counts';
import {EnginePlanInput} from './engine_plan_input';
import {EngineReservation} from './engine_reservation';
import {listFreeEngines} from './list_free_engines';

type Model = EngineProfile['models'][number];

/**
 * Plans loads that no group waits for: first into the memory of free hosts that have
 * no model, then copies of further models on disk, spares before group members.
 *
 * @param assigned incarnations that the same plan puts into groups
 * @param reservations hosts reserved for the next group of a model
 * @example
 * const orders = planPreloads(input, assigned, reservations);
 */
export function planPreloads(
  input: EnginePlanInput,
  assigned: ReadonlySet<string> = new Set(),
  reservations: readonly EngineReservation[] = [],
): EngineAction[] {
  const free = listFreeEngines(input).filter(
    host => !assigned.has(host.registration.incarnation),
  );
  const freeIds = new Set(free.map(host => host.registration.incarnation));
  const members = input.backends.filter(
    ({registration, seenAt}) =>
      registration.domain !== undefined &&
      !freeIds.has(registration.incarnation) &&
      !assigned.has(registration.incarnation) &&
      !input.isRetired(registration.incarnation) &&
      !input.isLost(registration.incarnation) &&
      input.now - seenAt < input.silentAfterMs,
  );
  const counts = countSupply(input, free);
  const hosts = [...free, ...members];
  return [
    ...planMemoryLoads(input, free, counts, reservations),
    ...hosts.flatMap(host =>
      planDiskCopy(host, sortByNeed(input, counts), input),
    ),
  ];
}

/** Counts the groups, and the spares by the model that each has or is loading. */
function countSupply(
  input: EnginePlanInput,
  free: readonly BackendView[],
): ModelCounts {
  const counts = ModelCounts.create(input);
  for (const {registration, loadedModel} of free) {
    const model =
      loadedModel ?? input.findLoadingModel(registration.incarnation);
    if (model !== undefined) {
      counts.addSpare(model);
    }
  }
  return counts;
}

/** Sorts models by hosts relative to the share of the load, fewest first. */
function sortByNeed({profile}: EnginePlanInput, counts: ModelCounts): Model[] {
  return [...profile.models].sort(
    (left, right) =>
      counts.computeSupplyPerShare(left) - counts.computeSupplyPerShare(right),
  );
}

/** Loads empty hosts: with the reserved model, else one from their own disk, else the model of greatest need. */
function planMemoryLoads(
  input: EnginePlanInput,
  free: readonly BackendView[],
  counts: ModelCounts,
  reservations: readonly EngineReservation[],
): EngineAction[] {
  const empty = free.filter(
    ({registration, loadedModel}) =>
      loadedModel === undefined &&
      registration.group === undefined &&
      input.findLoadingModel(registration.incarnation) === undefined,
  );
  return empty.flatMap(host => {
    const {stagedModels} = host.registration;
    const modelsByNeed = sortByNeed(input, counts);
    const reserved = reservations.find(({hosts}) => hosts.includes(host));
    const model =
      reserved?.model ??
      modelsByNeed.find(({name}) => stagedModels.includes(name)) ??
      modelsByNeed[0];
    if (!model) {
      return [];
    }
    counts.addSpare(model.name);
    return [createMemoryLoad(host, model, input)];
  });
}

function planDiskCopy(
  {registration, loadedModel}: BackendView,
  models: readonly Model[],
  {profile}: EnginePlanInput,
): EngineAction[] {
  const {incarnation, address, stagedModels, group} = registration;
  const copies = stagedModels.filter(name => name !== loadedModel);
  const missing = models.find(
    ({name}) => name !== loadedModel && !stagedModels.includes(name),
  );
  const isJoining = group?.state === 'joining';
  const hasRoom = copies.length < profile.keptModels;
  if (loadedModel === undefined || isJoining || !hasRoom || !missing) {
    return [];
  }
  return [
    {
      type: 'order',
      kind: 'stage',
      incarnation,
      address,
      model: missing.name,
      isLoad: true,
      reason: `${loadedModel} is in memory, ${missing.name} is to be at hand`,
    },
  ];
}
