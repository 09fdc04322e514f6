/** Decides when a group gives up its hosts for a model that lacks them more. */
import {EngineGroup} from '../../protocol/engine_group';
import {EngineProfile} from '../../protocol/engine_profile';
import {BackendView} from './backend_view';
import {computeReadyMs} from './compute_ready_ms';
import {EngineAction} from './engine_action';
import {ModelCounts} from './model_counts';
import {EnginePlanInput} from './engine_plan_input';
import {isHeldByUnreachableHead} from './is_held_by_unreachable_head';
import {listFreeEngines} from './list_free_engines';

/** With fewer groups the next loss would leave a model without any; only one that has none may ask for that. */
const SAFE_GROUPS = 2;

type Model = EngineProfile['models'][number];

/** What is looked at for each fabric domain, found once for all of them. */
interface Domain {
  readonly name: string;
  readonly groups: readonly EngineGroup[];
  readonly free: readonly BackendView[];
  /** All backend servers, by incarnation. */
  readonly views: ReadonlyMap<string, BackendView>;
}

/**
 * Ends groups of models that have more of them than they should for the one that the
 * split was changed for, or more hosts for their share of the work than one of which
 * requests are refused, if their hosts and the free ones of their domain can then form
 * a group of that other without a load.
 *
 * @example
 * const actions = planRebalance(input);
 */
export function planRebalance(input: EnginePlanInput): EngineAction[] {
  const isOneLeaving = input.groups.some(
    group => group.isEnding && !isHeldByUnreachableHead(group, input),
  );
  const isLeftOut = input.policy?.movesHosts === false;
  if (isLeftOut || !input.mayRebalance || isOneLeaving) {
    return [];
  }
  const counts =
    input.policy?.countsHeldGroups === false
      ? ModelCounts.create(input)
      : ModelCounts.createWithHeld(input);
  const needy = input.profile.models
    .filter(
      ({name}) => input.isPressed(name) || isToGetMore(name, counts, input),
    )
    .sort(
      (left, right) =>
        counts.computeHostsPerShare(left) - counts.computeHostsPerShare(right),
    );
  for (const model of needy) {
    const donors = findDonors(model, counts, input);
    if (donors) {
      const reason = `${model.name} lacks hosts for its share of the work`;
      return donors.map(({name, epoch}) => ({
        type: 'end-group',
        name,
        epoch,
        reason,
        isMove: true,
      }));
    }
  }
  return [];
}

function isToGetMore(
  model: string,
  counts: ModelCounts,
  {usual, recipientModel: movesTo}: EnginePlanInput,
): boolean {
  return (
    model === movesTo && counts.countGroups(model) < (usual.get(model) ?? 0)
  );
}

/** The fewest groups of one domain whose hosts are enough; undefined for none. */
function findDonors(
  model: Model,
  counts: ModelCounts,
  input: EnginePlanInput,
): readonly EngineGroup[] | undefined {
  const views = new Map(
    input.backends.map(view => [view.registration.incarnation, view]),
  );
  const free = new Map<string, BackendView[]>();
  for (const host of listFreeEngines(input)) {
    const {domain = ''} = host.registration;
    free.set(domain, [...(free.get(domain) ?? []), host]);
  }
  const groups = new Map<string, EngineGroup[]>();
  for (const group of input.groups) {
    groups.set(group.domain, [...(groups.get(group.domain) ?? []), group]);
  }
  return [...groups]
    .flatMap(([name, own]) => {
      const domain = {name, groups: own, free: free.get(name) ?? [], views};
      const donors = listDonors(model, domain, counts, input);
      return donors ? [donors] : [];
    })
    .sort((left, right) => left.length - right.length)[0];
}

function listDonors(
  model: Model,
  domain: Domain,
  counts: ModelCounts,
  input: EnginePlanInput,
): readonly EngineGroup[] | undefined {
  const donors: EngineGroup[] = [];
  let ready = countReady(domain.free, domain, model);
  for (const group of domain.groups) {
    const isDonor =
      ready < model.size &&
      isServing(group, domain) &&
      group.model !== model.name &&
      isBetterOff(group, donors, model, counts, input);
    if (isDonor) {
      donors.push(group);
      const members = group.members.flatMap(
        ({incarnation}) => domain.views.get(incarnation) ?? [],
      );
      ready += countReady(members, domain, model);
    }
  }
  return donors.length > 0 && ready >= model.size ? donors : undefined;
}

/** One that is being formed is about to help by itself. */
function isServing(
  {isEnding, members, name}: EngineGroup,
  {views}: Domain,
): boolean {
  const told = views.get(members[0].incarnation)?.registration.group;
  return !isEnding && told?.name === name && told.state === 'open';
}

function countReady(
  hosts: readonly BackendView[],
  {name}: Domain,
  model: Model,
): number {
  return hosts.filter(
    host =>
      host.registration.domain === name &&
      computeReadyMs(host, model) < model.loadMs,
  ).length;
}

/** It gives what it has beyond its own need, or what a model that refuses requests needs more. */
function isBetterOff(
  group: EngineGroup,
  given: readonly EngineGroup[],
  needy: Model,
  counts: ModelCounts,
  input: EnginePlanInput,
): boolean {
  const model = input.profile.models.find(({name}) => name === group.model);
  if (!model) {
    return false;
  }
  const gifts = given.filter(other => other.model === model.name).length + 1;
  const left = counts.countGroups(model.name) - gifts;
  const isBeyondUsual = left >= (input.usual.get(model.name) ?? 0);
  if (left > 0 && isBeyondUsual && isToGetMore(needy.name, counts, input)) {
    return true;
  }
  return (
    input.isPressed(needy.name) && isStillBetterOff(model, left, needy, counts)
  );
}

/**
 * Still after it gave up so much. Whether its own requests find places just now
 * says little: what its hosts had of it is gone with their next join.
 */
function isStillBetterOff(
  model: Model,
  left: number,
  needy: Model,
  counts: ModelCounts,
): boolean {
  const isFragile = left < SAFE_GROUPS && counts.countGroups(needy.name) > 0;
  if (left < 1 || isFragile) {
    return false;
  }
  const leftRank = (left * model.size) / model.share;
  return leftRank > counts.computeHostsPerShare(needy);
}
