/** Plans which groups give up their hosts to a model with greater need. */
import {EngineGroup} from '../../protocol/engine_group';
import {EngineProfile} from '../../protocol/engine_profile';
import {BackendView} from './backend_view';
import {computeReadyMs} from './compute_ready_ms';
import {countCapacity} from './count_capacity';
import {EngineAction} from './engine_action';
import {ModelCounts} from './model_counts';
import {EnginePlanInput} from './engine_plan_input';
import {isHeldByUnreachableHead} from './is_held_by_unreachable_head';
import {isMoreUrgent} from './is_more_urgent';
import {isMoveWorthwhile} from './is_move_worthwhile';
import {isShortOfGroups} from './is_short_of_groups';
import {listFreeEngines} from './list_free_engines';

/** With fewer groups, the next loss would leave a donor without any; only a model without groups may cause that. */
const MIN_DONOR_GROUPS = 2;

type Model = EngineProfile['models'][number];

/** Groups and hosts of one fabric domain, collected once for all domains. */
interface DomainView {
  readonly name: string;
  readonly groups: readonly EngineGroup[];
  readonly free: readonly BackendView[];
  /** All backend servers, by incarnation. */
  readonly views: ReadonlyMap<string, BackendView>;
}

/**
 * Plans which groups to end so that their hosts and the free ones of their domain can
 * form a group of another model without a load. Donors are models with more groups
 * than desired if the other model's share was just raised, and models with more hosts
 * relative to their share of the load if the other model is saturated.
 *
 * @example
 * const actions = planRebalance(input);
 */
export function planRebalance(input: EnginePlanInput): EngineAction[] {
  const isAnyEnding = input.groups.some(
    group => group.isEnding && !isHeldByUnreachableHead(group, input),
  );
  const isDisabled = input.policy?.movesHosts === false;
  if (isDisabled || !input.mayRebalance || isAnyEnding) {
    return [];
  }
  const counts =
    input.policy?.countsHeldGroups === false
      ? ModelCounts.create(input)
      : ModelCounts.createWithHeld(input);
  const recipients = input.profile.models
    .filter(
      ({name}) =>
        input.isSaturated(name) ||
        isRecipientBelowDesired(name, counts, input) ||
        isUrgentlyShort(name, input),
    )
    .sort(
      (left, right) =>
        computeUrgency(right, input) - computeUrgency(left, input) ||
        counts.computeHostsPerShare(left) - counts.computeHostsPerShare(right),
    );
  for (const model of recipients) {
    const donors = findDonors(model, counts, input);
    if (donors && isWorthwhile(model, donors, input)) {
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

/** Weighs a group of one model against those that end for it; where urgency counts, that decides. */
function isWorthwhile(
  recipient: Model,
  donors: readonly EngineGroup[],
  input: EnginePlanInput,
): boolean {
  const {needs, forecast, profile, estimateLifetimeMs} = input;
  if (needs || !forecast) {
    return true;
  }
  const before = countCapacity(input);
  const during = new Map(before);
  for (const {model} of donors) {
    during.set(model, Math.max(0, (during.get(model) ?? 0) - 1));
  }
  const {name, size, warmMs} = recipient;
  const drainMs = Math.max(
    ...donors.map(({model}) => forecast.estimateDrainMs(model)),
  );
  const move = {
    before,
    during,
    after: new Map(during).set(name, (during.get(name) ?? 0) + 1),
    movingMs: drainMs + warmMs + profile.openMs,
    lifetimeMs: estimateLifetimeMs?.(size) ?? Infinity,
  };
  return isMoveWorthwhile(move, input);
}

/** Checks whether a model lacks groups for its measured demand. Groups held by an unreachable head do not serve. */
function isUrgentlyShort(model: string, input: EnginePlanInput): boolean {
  return (
    input.policy?.movesByUrgency !== false &&
    isShortOfGroups(model, ModelCounts.create(input), input)
  );
}

function computeUrgency({name}: Model, input: EnginePlanInput): number {
  return isUrgentlyShort(name, input)
    ? (input.needs?.get(name)?.weight ?? 0)
    : 0;
}

function isRecipientBelowDesired(
  model: string,
  counts: ModelCounts,
  {desiredGroups, recipientModel}: EnginePlanInput,
): boolean {
  return (
    model === recipientModel &&
    counts.countGroups(model) < (desiredGroups.get(model) ?? 0)
  );
}

/** Finds the fewest groups of one domain whose hosts are enough; undefined for none. */
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
    .flatMap(([name, domainGroups]) => {
      const domain = {
        name,
        groups: domainGroups,
        free: free.get(name) ?? [],
        views,
      };
      const donors = listDonors(model, domain, counts, input);
      return donors ? [donors] : [];
    })
    .sort((left, right) => left.length - right.length)[0];
}

function listDonors(
  model: Model,
  domain: DomainView,
  counts: ModelCounts,
  input: EnginePlanInput,
): readonly EngineGroup[] | undefined {
  const donors: EngineGroup[] = [];
  let hostsReady = countWithWeights(domain.free, domain, model);
  for (const group of domain.groups) {
    const isDonor =
      hostsReady < model.size &&
      isServing(group, domain) &&
      group.model !== model.name &&
      canDonate(group, donors, model, counts, input);
    if (isDonor) {
      donors.push(group);
      const members = group.members.flatMap(
        ({incarnation}) => domain.views.get(incarnation) ?? [],
      );
      hostsReady += countWithWeights(members, domain, model);
    }
  }
  return donors.length > 0 && hostsReady >= model.size ? donors : undefined;
}

/** Checks whether a group is open. A forming group does not donate, since it is about to add capacity itself. */
function isServing(
  {isEnding, members, name}: EngineGroup,
  {views}: DomainView,
): boolean {
  const reported = views.get(members[0].incarnation)?.registration.group;
  return !isEnding && reported?.name === name && reported.state === 'open';
}

function countWithWeights(
  hosts: readonly BackendView[],
  {name}: DomainView,
  model: Model,
): number {
  return hosts.filter(
    host =>
      host.registration.domain === name &&
      computeReadyMs(host, model) < model.loadMs,
  ).length;
}

/** Checks whether a group's model has more groups than desired, or less need than a saturated model. */
function canDonate(
  group: EngineGroup,
  donors: readonly EngineGroup[],
  recipient: Model,
  counts: ModelCounts,
  input: EnginePlanInput,
): boolean {
  const model = input.profile.models.find(({name}) => name === group.model);
  if (!model) {
    return false;
  }
  const donated = donors.filter(other => other.model === model.name).length + 1;
  const left = counts.countGroups(model.name) - donated;
  const isAboveDesired = left >= (input.desiredGroups.get(model.name) ?? 0);
  if (
    left > 0 &&
    isAboveDesired &&
    isRecipientBelowDesired(recipient.name, counts, input)
  ) {
    return true;
  }
  if (isMoreUrgent(recipient.name, model.name, input)) {
    const {busyGroups = 0} = input.needs?.get(model.name) ?? {};
    const serving = ModelCounts.create(input).countGroups(model.name) - donated;
    if (
      serving >= Math.max(1, busyGroups) &&
      isUrgentlyShort(recipient.name, input)
    ) {
      return true;
    }
  }
  if (isMoreUrgent(model.name, recipient.name, input)) {
    const {sufficientGroups = 0} = input.needs?.get(model.name) ?? {};
    if (left < sufficientGroups) {
      return false;
    }
  }
  return (
    input.isSaturated(recipient.name) &&
    hasLessNeedAfterwards(model, left, recipient, counts)
  );
}

/**
 * Checks whether a model has less need even after its donation. Whether it refuses
 * requests at present says little, since its hosts lose its weights when they join
 * groups of the other model.
 */
function hasLessNeedAfterwards(
  model: Model,
  left: number,
  recipient: Model,
  counts: ModelCounts,
): boolean {
  const isFragile =
    left < MIN_DONOR_GROUPS && counts.countGroups(recipient.name) > 0;
  if (left < 1 || isFragile) {
    return false;
  }
  const hostsPerShare = (left * model.size) / model.share;
  return hostsPerShare > counts.computeHostsPerShare(recipient);
}
