/** Decides the next steps for the engines of one pool. */
import {EngineGroup} from '../../protocol/engine_group';
import {BackendView} from './backend_view';
import {EngineAction} from './engine_action';
import {EnginePlanInput} from './engine_plan_input';
import {planEngineFormation} from './plan_engine_formation';
import {planRebalance} from './plan_rebalance';
import {planConsolidation} from './plan_consolidation';
import {planPreloads} from './plan_preloads';

type Views = ReadonlyMap<string, BackendView>;
type Member = EngineGroup['members'][number];

/**
 * Plans steps towards whole, open groups; a pure function of what is known now.
 * A group that lost a member is taken apart first: its head must have let go
 * before any member is used again.
 *
 * @example
 * const actions = planEngineGroups(input);
 */
export function planEngineGroups(input: EnginePlanInput): EngineAction[] {
  const views = new Map(
    input.backends.map(view => [view.registration.incarnation, view]),
  );
  const steps = input.groups.flatMap(group => {
    if (group.isEnding) {
      return planRemoval(group, views, input);
    }
    const reason = findFault(group, views, input);
    const {name, epoch} = group;
    return reason
      ? [{type: 'end-group' as const, name, epoch, reason}]
      : planAssembly(group, views);
  });
  const moves = planMoves(input);
  const {actions: formations, reservations} = planEngineFormation(
    input,
    moves.length === 0,
  );
  const formed = formations.flatMap(action =>
    action.type === 'set-group' ? action.group.members : [],
  );
  const taken = new Set(formed.map(member => member.incarnation));
  return [
    ...steps,
    ...planStrays(input),
    // New groups may take the hosts that a move counts on.
    ...(formations.length === 0 ? moves : []),
    ...formations,
    ...planPreloads(input, taken, reservations),
  ];
}

/** Groups that give up their hosts to a better use. */
function planMoves(input: EnginePlanInput): EngineAction[] {
  const upgrades = planConsolidation(input);
  return upgrades.length > 0 ? upgrades : planRebalance(input);
}

/** Why a group cannot go on, if it cannot. */
function findFault(
  group: EngineGroup,
  views: Views,
  input: EnginePlanInput,
): string | undefined {
  const lost = findLost(group, views, input);
  if (lost) {
    return `${lost.incarnation} is lost`;
  }
  const retired = group.members.find(member =>
    input.isRetired(member.incarnation),
  );
  if (retired) {
    return `${retired.incarnation} is leaving`;
  }
  const told = findTold(group, views.get(group.members[0].incarnation));
  return told?.state === 'broken'
    ? 'the head says that it is broken'
    : undefined;
}

function findLost(
  group: EngineGroup,
  views: Views,
  input: EnginePlanInput,
): Member | undefined {
  return group.members.find(({incarnation}) => {
    const isUnknown = !views.has(incarnation) && !input.isStillListening;
    return isUnknown || input.isLost(incarnation);
  });
}

/** What a member says about this very group. */
function findTold(group: EngineGroup, view: BackendView | undefined) {
  const told = view?.registration.group;
  const isSame = told?.name === group.name && told.epoch === group.epoch;
  return isSame ? told : undefined;
}

/** The head lets go first; only then may its members join others. */
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
    if (input.isLetGo(group)) {
      const reason = `its head ${head} counts on nobody any more`;
      return [{...removal, reason}];
    }
    return planLeaving(group, views, input);
  }
  const told = findTold(group, view);
  if (!told) {
    return [{...removal, reason: `its head ${head} has let go`}];
  }
  // A group that is whole finishes its work before a member leaves.
  const isWhole = findLost(group, views, input) === undefined;
  if (isWhole && told.state === 'closing') {
    return [];
  }
  const kind = isWhole && told.state === 'open' ? 'close' : 'leave';
  return [createOrder(kind, view, group, `${name} is taken apart`)];
}

/**
 * Nobody can ask a head that is silent. A member that leaves makes it stand
 * still and then break by itself, whether it is dead or only cut off.
 */
function planLeaving(
  group: EngineGroup,
  views: Views,
  input: EnginePlanInput,
): EngineAction[] {
  const {name, epoch} = group;
  const reason = `a member has left, the head of ${name} will break`;
  const release =
    !group.isReleased && input.hasLeaver(group)
      ? [{type: 'release-group' as const, name, epoch, reason}]
      : [];
  const orders = group.members
    .slice(1)
    .flatMap(({incarnation}) => views.get(incarnation) ?? [])
    .filter(view => findTold(group, view))
    .filter(view => !input.isLost(view.registration.incarnation))
    .map(view =>
      createOrder('leave', view, group, `the head of ${name} is silent`),
    );
  return [...release, ...orders];
}

function planAssembly(group: EngineGroup, views: Views): EngineAction[] {
  const members = group.members.flatMap(
    ({incarnation}) => views.get(incarnation) ?? [],
  );
  if (members.length < group.members.length) {
    return [];
  }
  const strangers = members.filter(view => !findTold(group, view));
  if (strangers.length > 0) {
    return strangers.map(view =>
      createOrder('join', view, group, `${group.name} is to be formed`),
    );
  }
  const [head, ...others] = members.map(view => findTold(group, view)?.state);
  const isReady =
    head === 'ready' &&
    others.every(state => state === 'ready' || state === 'open');
  return isReady
    ? [createOrder('open', members[0], group, 'every member is ready')]
    : [];
}

/** An engine that still serves a group that control has given up must stop. */
function planStrays(input: EnginePlanInput): EngineAction[] {
  const known = new Set(
    input.groups.map(({name, epoch}) => `${name} ${epoch}`),
  );
  return input.backends.flatMap(view => {
    const told = view.registration.group;
    const isServing = told?.state === 'open' || told?.state === 'closing';
    const {incarnation, address, domain} = view.registration;
    const isAway =
      input.isLost(incarnation) ||
      input.now - view.seenAt > input.silentAfterMs;
    if (
      !told ||
      !isServing ||
      isAway ||
      known.has(`${told.name} ${told.epoch}`)
    ) {
      return [];
    }
    const group: EngineGroup = {
      name: told.name,
      epoch: told.epoch,
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
  {registration, loadedModel: heldModel}: BackendView,
  group: EngineGroup,
  reason: string,
): EngineAction {
  const {incarnation, address, stagedModels} = registration;
  const {model} = group;
  const isAtHand = heldModel === model || stagedModels.includes(model);
  const isLoad = kind === 'join' && !isAtHand;
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
