/**
 * Decides which weights hosts keep ready. A host holds one model in memory and
 * keeps others on its own disk, so with two models every host can serve either
 * within a second or two: whatever is lost, those that are left can be arranged
 * anew without reading from the store.
 */
import {EngineProfile} from '../protocol/engine_profile';
import {BackendView} from './backend_view';
import {EngineAction} from './engine_action';
import {EnginePlanInput} from './engine_plan_input';
import {listFreeEngines} from './list_free_engines';

/** Groups of one host that serve nobody; engines want an epoch above none. */
const PARKING_EPOCH = 1;

type Model = EngineProfile['models'][number];

/**
 * Plans loads that no group waits for: first free hosts without a model in
 * memory, then second copies, spares before members.
 *
 * @param taken incarnations that the same plan puts into groups
 * @example
 * const orders = planWeights(input, taken);
 */
export function planWeights(
  input: EnginePlanInput,
  taken: ReadonlySet<string> = new Set(),
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
  const models = listByNeed(input);
  return [
    ...free.flatMap(host => planParking(host, models, input.pool)),
    ...[...free, ...members].flatMap(host =>
      planSecondCopy(host, models, input),
    ),
  ];
}

/** The model with the fewest hosts for its share of the work comes first. */
function listByNeed({profile, groups, backends}: EnginePlanInput): Model[] {
  const rank = ({name, share}: Model) => {
    const members = groups
      .filter(group => group.model === name)
      .reduce((sum, group) => sum + group.members.length, 0);
    const kept = backends.filter(({registration}) =>
      registration.stagedModels.includes(name),
    ).length;
    return (members + kept) / Math.max(share, Number.EPSILON);
  };
  return [...profile.models].sort((left, right) => rank(left) - rank(right));
}

/** A free host with nothing in memory takes a model into it, in a group of its own that never opens. */
function planParking(
  {registration, heldModel}: BackendView,
  models: readonly Model[],
  pool: string,
): EngineAction[] {
  const {incarnation, address, domain, stagedModels, group} = registration;
  if (heldModel !== undefined || group !== undefined) {
    return [];
  }
  const model =
    models.find(({name}) => stagedModels.includes(name)) ?? models[0];
  if (!model) {
    return [];
  }
  return [
    {
      type: 'order',
      kind: 'join',
      incarnation,
      address,
      group: {
        name: `parked-${incarnation}`,
        epoch: PARKING_EPOCH,
        pool,
        model: model.name,
        domain: domain ?? '',
        members: [{incarnation, address}],
        isEnding: false,
        isReleased: false,
      },
      model: model.name,
      isLoad: !stagedModels.includes(model.name),
      reason: 'a spare takes a model into memory',
    },
  ];
}

function planSecondCopy(
  {registration, heldModel}: BackendView,
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
