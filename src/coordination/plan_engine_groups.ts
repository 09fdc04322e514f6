/** Decides the next steps for the engines of one pool. */
import {EngineGroup} from '../protocol/engine_group';
import {BackendView} from './backend_view';
import {EngineAction} from './engine_action';
import {EnginePlanInput} from './engine_plan_input';
import {planEngineFormation} from './plan_engine_formation';

type Views = ReadonlyMap<string, BackendView>;

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
  return [...steps, ...planEngineFormation(input)];
}

/** Why a group cannot go on, if it cannot. */
function findFault(
  group: EngineGroup,
  views: Views,
  input: EnginePlanInput,
): string | undefined {
  const lost = findLost(group, views, input);
  if (lost !== undefined) {
    return `${lost} is lost`;
  }
  const retired = group.members.find(member => input.isRetired(member));
  if (retired !== undefined) {
    return `${retired} is leaving`;
  }
  const told = findTold(group, views.get(group.members[0]));
  return told?.state === 'broken'
    ? 'the head says that it is broken'
    : undefined;
}

function findLost(
  group: EngineGroup,
  views: Views,
  input: EnginePlanInput,
): string | undefined {
  return group.members.find(
    member => !views.has(member) || input.isLost(member),
  );
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
  const [head] = group.members;
  const {name, epoch} = group;
  const view = views.get(head);
  const removal = {type: 'remove-group' as const, name, epoch};
  if (!view || input.isLost(head)) {
    return input.isGone(head)
      ? [{...removal, reason: `its head ${head} is dead`}]
      : [];
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

function planAssembly(group: EngineGroup, views: Views): EngineAction[] {
  const members = group.members.flatMap(member => views.get(member) ?? []);
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

function createOrder(
  kind: 'join' | 'open' | 'close' | 'leave',
  {registration}: BackendView,
  group: EngineGroup,
  reason: string,
): EngineAction {
  const {incarnation, address, stagedModels} = registration;
  const isLoad = kind === 'join' && !stagedModels.includes(group.model);
  const {model} = group;
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
