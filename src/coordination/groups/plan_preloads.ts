/**
 * Decides which weights hosts keep ready. A host holds one model in memory and
 * keeps others on its own disk, so with two models every host can serve either
 * within a second or two: whatever is lost, those that are left can be arranged
 * anew without reading from the store.
 */
import {EngineProfile} from '../../protocol/engine_profile';
import {BackendView} from './backend_view';
import {EngineAction} from './engine_action';
import {ModelCounts} from './model_counts';
import {EnginePlanInput} from './engine_plan_input';
import {EngineReservation} from './engine_reservation';
import {listFreeEngines} from './list_free_engines';

type Model = EngineProfile['models'][number];

/**
 * Plans loads that no group waits for: first free hosts without a model in
 * memory, then second copies, spares before members.
 *
 * @param taken incarnations that the same plan puts into groups
 * @param reservations hosts that wait for a group of one model
 * @example
 * const orders = planPreloads(input, taken, reservations);
 */
export function planPreloads(
  input: EnginePlanInput,
  taken: ReadonlySet<string> = new Set(),
  reservations: readonly EngineReservation[] = [],
): EngineAction[] {
  const free = listFreeEngines(input).filter(
    host => !taken.has(host.registration.incarnation),
  );
  const freeIds = new Set(free.map(host => host.registration.incarnation));
  const members = input.backends.filter(
    ({registration, seenAt}) =>
      registration.domain !== undefined &&
      !freeIds.has(registration.incarnation) &&
      !taken.has(registration.incarnation) &&
      !input.isRetired(registration.incarnation) &&
      !input.isLost(registration.incarnation) &&
      input.now - seenAt < input.silentAfterMs,
  );
  const counts = countSupply(input, free);
  const ready = [...free, ...members];
  return [
    ...planParkings(input, free, counts, reservations),
    ...ready.flatMap(host =>
      planSecondCopy(host, sortByNeed(input, counts), input),
    ),
  ];
}

/** Groups, and spares by the model that each has or is loading. */
function countSupply(
  input: EnginePlanInput,
  free: readonly BackendView[],
): ModelCounts {
  const counts = ModelCounts.create(input);
  for (const {registration, loadedModel: heldModel} of free) {
    const model = heldModel ?? input.findLoading(registration.incarnation);
    if (model !== undefined) {
      counts.addSpare(model);
    }
  }
  return counts;
}

/** The model with the fewest hosts for its share of the work comes first. */
function sortByNeed({profile}: EnginePlanInput, counts: ModelCounts): Model[] {
  return [...profile.models].sort(
    (left, right) =>
      counts.computeSupplyPerShare(left) - counts.computeSupplyPerShare(right),
  );
}

/** Empty hosts that wait for a group take its model, the others what lacks hosts most. */
function planParkings(
  input: EnginePlanInput,
  free: readonly BackendView[],
  counts: ModelCounts,
  reservations: readonly EngineReservation[],
): EngineAction[] {
  const empty = free.filter(
    ({registration, loadedModel: heldModel}) =>
      heldModel === undefined &&
      registration.group === undefined &&
      input.findLoading(registration.incarnation) === undefined,
  );
  return empty.flatMap(host => {
    const {stagedModels} = host.registration;
    const models = sortByNeed(input, counts);
    const reserved = reservations.find(({hosts}) => hosts.includes(host));
    const model =
      reserved?.model ??
      models.find(({name}) => stagedModels.includes(name)) ??
      models[0];
    if (!model) {
      return [];
    }
    counts.addSpare(model.name);
    return [createParking(host, model, input)];
  });
}

/** A free host takes a model into memory in a group of its own that never opens. */
function createParking(
  {registration}: BackendView,
  model: Model,
  {pool, epoch}: EnginePlanInput,
): EngineAction {
  const {incarnation, address, domain, stagedModels} = registration;
  return {
    type: 'order',
    kind: 'join',
    incarnation,
    address,
    group: {
      name: `parked-${incarnation}`,
      epoch,
      pool,
      model: model.name,
      domain: domain ?? '',
      members: [{incarnation, address}],
      isEnding: false,
      isReleased: false,
    },
    isParking: true,
    model: model.name,
    isLoad: !stagedModels.includes(model.name),
    reason: 'a spare takes a model into memory',
  };
}

function planSecondCopy(
  {registration, loadedModel: heldModel}: BackendView,
  models: readonly Model[],
  {profile}: EnginePlanInput,
): EngineAction[] {
  const {incarnation, address, stagedModels, group} = registration;
  const others = stagedModels.filter(name => name !== heldModel);
  const missing = models.find(
    ({name}) => name !== heldModel && !stagedModels.includes(name),
  );
  const isBusy = group?.state === 'joining';
  const hasRoom = others.length < profile.keptModels;
  if (heldModel === undefined || isBusy || !hasRoom || !missing) {
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
      reason: `${heldModel} is in memory, ${missing.name} is to be at hand`,
    },
  ];
}
