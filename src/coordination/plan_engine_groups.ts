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
    const fault = findFault(group, views, input);
    return fault
      ? planRemoval(group, fault, views, input)
      : planAssembly(group, views);
  });
  return [...steps, ...planEngineFormation(input)];
}

/** Why a group cannot go on, if it cannot. */
function findFault(
  group: EngineGroup,
  views: Views,
  input: EnginePlanInput,
): {reason: string; isPlanned: boolean} | undefined {
  const lost = group.members.find(
    member => !views.has(member) || input.isLost(member),
  );
  if (lost !== undefined) {
    return {reason: `${lost} is lost`, isPlanned: false};
  }
  const retired = group.members.find(member => input.isRetired(member));
  if (retired !== undefined) {
    return {reason: `${retired} is leaving`, isPlanned: true};
  }
  const told = findTold(group, views.get(group.members[0]));
  return told?.state === 'broken'
    ? {reason: 'the head says that it is broken', isPlanned: false}
    : undefined;
}

/** What a member says about this very group. */
function findTold(group: EngineGroup, view: BackendView | undefined) {
  const told = view?.registration.group;
  const isSame = told?.name === group.name && told.epoch === group.epoch;
  return isSame ? told : undefined;
}

function planRemoval(
  group: EngineGroup,
  fault: {reason: string; isPlanned: boolean},
  views: Views,
  input: EnginePlanInput,
): EngineAction[] {
  const [head] = group.members;
  const {name, epoch} = group;
  const {reason} = fault;
  const view = views.get(head);
  if (!view || input.isLost(head)) {
    return input.isGone(head)
      ? [{type: 'remove-group', name, epoch, reason}]
      : [];
  }
  const told = findTold(group, view);
  if (!told) {
    return [{type: 'remove-group', name, epoch, reason}];
  }
  if (told.state === 'closing' && fault.isPlanned) {
    return [];
  }
  const kind = fault.isPlanned && told.state === 'open' ? 'close' : 'leave';
  return [createOrder(kind, view, group, reason)];
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
