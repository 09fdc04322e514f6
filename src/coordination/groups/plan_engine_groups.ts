/** Plans the next steps for the engine groups of one pool. */
import {EngineGroup} from '../../protocol/engine_group';
import {BackendView} from './backend_view';
import {EngineAction} from './engine_action';
import {EnginePlanInput} from './engine_plan_input';
import {dropEvacuated} from './drop_evacuated';
import {findEvacuationFault} from './find_evacuation_fault';
import {planDepartures} from './plan_departures';
import {planEngineFormation} from './plan_engine_formation';
import {planRebalance} from './plan_rebalance';
import {planConsolidation} from './plan_consolidation';
import {planPreloads} from './plan_preloads';

type Views = ReadonlyMap<string, BackendView>;
type Member = EngineGroup['members'][number];

/**
 * Plans steps towards complete, open groups. Pure function of the current state.
 * A group that lost a member is dissolved first: its members are reused only once
 * its head has released them.
 *
 * @example
 * const actions = planEngineGroups(input);
 */
export function planEngineGroups(input: EnginePlanInput): EngineAction[] {
  const views = new Map(
    input.backends.map(view => [view.registration.incarnation, view]),
  );
  const departures = planDepartures(input);
  const steps = input.groups.flatMap(group => {
    if (group.isEnding) {
      return planRemoval(group, views, input);
    }
    const reason = findFault(group, views, input, departures.kept);
    const {name, epoch} = group;
    return reason
      ? [{type: 'end-group' as const, name, epoch, reason}]
      : planJoinAndOpen(group, views);
  });
  const {replacements} = departures;
  const usable = {...dropEvacuated(input), replacements};
  const moves = planMoves(usable);
  const {actions: formations, reservations} = planEngineFormation(
    usable,
    moves.length === 0,
  );
  const formed = formations.flatMap(action =>
    action.type === 'set-group' ? action.group.members : [],
  );
  const plannedMembers = new Set(formed.map(member => member.incarnation));
  return [
    ...steps,
    ...planOrphans(input),
    ...departures.orders,
    // New groups may use the hosts that a move relies on.
    ...(formations.length === 0 ? moves : []),
    ...formations,
    ...planPreloads(usable, plannedMembers, reservations),
  ];
}

/** Ends groups whose hosts have a better use. */
function planMoves(input: EnginePlanInput): EngineAction[] {
  const upgrades = planConsolidation(input);
  return upgrades.length > 0 ? upgrades : planRebalance(input);
}

/** Returns why a group must end; undefined if it need not. */
function findFault(
  group: EngineGroup,
  views: Views,
  input: EnginePlanInput,
  kept: ReadonlySet<string>,
): string | undefined {
  const lost = findLost(group, views, input);
  if (lost) {
    return `${lost.incarnation} is lost`;
  }
  const retired = kept.has(group.name)
    ? undefined
    : group.members.find(member => input.isRetired(member.incarnation));
  if (retired) {
    return `${retired.incarnation} is leaving`;
  }
  const reported = findReportedGroup(
    group,
    views.get(group.members[0].incarnation),
  );
  return reported?.state === 'broken'
    ? 'the head says that it is broken'
    : findEvacuationFault(group, views, input);
}

function findLost(
  group: EngineGroup,
  views: Views,
  input: EnginePlanInput,
): Member | undefined {
  return group.members.find(({incarnation}) => {
    const isUnknown = !views.has(incarnation) && !input.isInGracePeriod;
    return isUnknown || input.isLost(incarnation);
  });
}

/** Returns what a member reports about this group, if it reports this name and epoch. */
function findReportedGroup(group: EngineGroup, view: BackendView | undefined) {
  const reported = view?.registration.group;
  const isSame =
    reported?.name === group.name && reported.epoch === group.epoch;
  return isSame ? reported : undefined;
}

/** Removes an ending group. Its members may join others only once its head has released them. */
function planRemoval(
  group: EngineGroup,
  views: Views,
  input: EnginePlanInput,
): EngineAction[] {
  const head = group.members[0].incarnation;
  const {name, epoch} = group;
  const view = views.get(head);
  const removal = {type: 'remove-group' as const, name, epoch};
  if (!view || input.isLost(head)) {
    if (input.isHeadStopped(group)) {
      const reason = `its head ${head} counts on nobody any more`;
      return [{...removal, reason}];
    }
    return planMemberDeparture(group, views, input);
  }
  const reported = findReportedGroup(group, view);
  if (!reported) {
    return [{...removal, reason: `its head ${head} has let go`}];
  }
  // A complete group finishes its running requests before a member leaves.
  const isComplete = findLost(group, views, input) === undefined;
  if (isComplete && reported.state === 'closing') {
    return [];
  }
  const kind = isComplete && reported.state === 'open' ? 'close' : 'leave';
  return [createOrder(kind, view, group, `${name} is taken apart`)];
}

/**
 * Orders the members of an unreachable head to leave. The head cannot be asked, but
 * without a member it stalls and then breaks its group by itself, even if it is only
 * partitioned from the control plane.
 */
function planMemberDeparture(
  group: EngineGroup,
  views: Views,
  input: EnginePlanInput,
): EngineAction[] {
  const {name, epoch} = group;
  const reason = `a member has left, the head of ${name} will break`;
  const release =
    !group.isReleased && input.hasDepartedMember(group)
      ? [{type: 'release-group' as const, name, epoch, reason}]
      : [];
  const orders = group.members
    .slice(1)
    .flatMap(({incarnation}) => views.get(incarnation) ?? [])
    .filter(view => findReportedGroup(group, view))
    .filter(view => !input.isLost(view.registration.incarnation))
    .map(view =>
      createOrder('leave', view, group, `the head of ${name} is silent`),
    );
  return [...release, ...orders];
}

function planJoinAndOpen(group: EngineGroup, views: Views): EngineAction[] {
  const members = group.members.flatMap(
    ({incarnation}) => views.get(incarnation) ?? [],
  );
  if (members.length < group.members.length) {
    return [];
  }
  const unjoined = members.filter(view => !findReportedGroup(group, view));
  if (unjoined.length > 0) {
    return unjoined.map(view =>
      createOrder('join', view, group, `${group.name} is to be formed`),
    );
  }
  const [head, ...others] = members.map(
    view => findReportedGroup(group, view)?.state,
  );
  const isReady =
    head === 'ready' &&
    others.every(state => state === 'ready' || state === 'open');
  return isReady
    ? [createOrder('open', members[0], group, 'every member is ready')]
    : [];
}

/** Orders engines to leave that still serve a group which is no longer committed. */
function planOrphans(input: EnginePlanInput): EngineAction[] {
  const committed = new Set(
    input.groups.map(({name, epoch}) => `${name} ${epoch}`),
  );
  return input.backends.flatMap(view => {
    const reported = view.registration.group;
    const isServing =
      reported?.state === 'open' || reported?.state === 'closing';
    const {incarnation, address, domain} = view.registration;
    const isUnreachable =
      input.isLost(incarnation) ||
      input.now - view.seenAt > input.silentAfterMs;
    if (
      !reported ||
      !isServing ||
      isUnreachable ||
      committed.has(`${reported.name} ${reported.epoch}`)
    ) {
      return [];
    }
    const group: EngineGroup = {
      name: reported.name,
      epoch: reported.epoch,
      pool: input.pool,
      model: view.registration.model ?? '',
      domain: domain ?? '',
      members: [{incarnation, address}],
      isEnding: true,
      isReleased: false,
    };
    return [createOrder('leave', view, group, 'its group was given up')];
  });
}

function createOrder(
  kind: 'join' | 'open' | 'close' | 'leave',
  {registration, loadedModel}: BackendView,
  group: EngineGroup,
  reason: string,
): EngineAction {
  const {incarnation, address, stagedModels} = registration;
  const {model} = group;
  const hasWeights = loadedModel === model || stagedModels.includes(model);
  const isLoad = kind === 'join' && !hasWeights;
  return {
    type: 'order',
    kind,
    incarnation,
    address,
    group,
    model,
    isLoad,
    reason,
  };
}
