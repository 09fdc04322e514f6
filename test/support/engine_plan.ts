/** Builders for engine hosts, groups and plans in tests of the planner. */
import {BackendView} from '../../src/coordination/groups/backend_view';
import {EngineAction} from '../../src/coordination/groups/engine_action';
import {EnginePlanInput} from '../../src/coordination/groups/engine_plan_input';
import {planEngineGroups} from '../../src/coordination/groups/plan_engine_groups';
import {BackendRegistration} from '../../src/protocol/backend_registration';
import {EngineGroup} from '../../src/protocol/engine_group';
import {EngineProfile} from '../../src/protocol/engine_profile';

/** The time of every plan, in milliseconds. */
export const NOW = 100_000;
/** A host's report of its group. */
export type GroupReport = NonNullable<BackendRegistration['group']>;

/** A large model on four hosts per group and a small one on two. */
export const PROFILE: EngineProfile = {
  models: [
    {name: 'big', size: 4, pace: 1, share: 0.67, loadMs: 16_000, warmMs: 1_600},
    {name: 'low', size: 2, pace: 1, share: 0.33, loadMs: 12_000, warmMs: 1_100},
  ],
  slots: 34,
  contextTokens: 1_000_000,
  stepMs: 6,
  stepMsPerRequest: 0.3,
  promptTokensPerSecond: 46_000,
  promptChunkTokens: 2_048,
  stepsPerEvent: 3,
  loadsPerSecond: 3,
  concurrentLoads: 6,
  keptModels: 1,
  openMs: 300,
  crossDomainSlowdown: 3,
};

/** Creates the profile with other group sizes of the large and the small model. */
export function createSizedProfile(
  bigSize: number,
  lowSize: number,
): EngineProfile {
  const [big, low] = PROFILE.models;
  return {
    ...PROFILE,
    models: [
      {...big, size: bigSize},
      {...low, size: lowSize},
    ],
  };
}

/** Creates a host with no model and no group unless the changes say so. */
export function createHost(
  incarnation: string,
  changes: Partial<BackendRegistration> = {},
  seenAt = NOW,
): BackendView {
  const registration = {
    incarnation,
    pool: 'p',
    address: `${incarnation}:1`,
    zone: 'z',
    isLeaving: false,
    sequence: 1,
    slots: 34,
    domain: 'd',
    stagedModels: [],
    ...changes,
  };
  const {model: loadedModel} = registration as BackendRegistration;
  return {registration, seenAt, firstSeenAt: 0, loadedModel};
}

/** Creates hosts of one domain, named after it and numbered from 0. */
export function createHosts(
  domain: string,
  count: number,
  changes: Partial<BackendRegistration> = {},
): BackendView[] {
  return Array.from({length: count}, (_, at) =>
    createHost(`${domain}${at}`, {domain, ...changes}),
  );
}

/** Creates a group of the small model with these members, the head first. */
export function createGroup(
  members: string[],
  changes: Partial<EngineGroup> = {},
): EngineGroup {
  return {
    name: 'low-1',
    epoch: 7,
    pool: 'p',
    model: 'low',
    domain: 'd',
    members: members.map(incarnation => ({
      incarnation,
      address: `${incarnation}:1`,
    })),
    isEnding: false,
    isReleased: false,
    ...changes,
  };
}

/** Creates the registration field in which a host reports its group. */
export function createGroupReport(
  state: GroupReport['state'],
  rank = 0,
  epoch = 7,
): {group: GroupReport} {
  return {group: {name: 'low-1', epoch, rank, state}};
}

/** Creates a planner's input that has no groups, hosts or failures unless the changes say so. */
export function createPlanInput(
  changes: Partial<EnginePlanInput>,
): EnginePlanInput {
  return {
    pool: 'p',
    profile: PROFILE,
    groups: [],
    backends: [],
    desiredGroups: new Map([['low', 0]]),
    now: NOW,
    silentAfterMs: 3_600,
    isInGracePeriod: false,
    isColdStart: false,
    mayRebalance: true,
    epoch: 1,
    findLoadingModel: () => undefined,
    isSaturated: () => false,
    isRetired: () => false,
    isLost: () => false,
    isHeadStopped: () => false,
    hasDepartedMember: () => false,
    ...changes,
  };
}

/** Plans with a default input that has no groups, hosts or failures. */
export function createPlan(changes: Partial<EnginePlanInput>): EngineAction[] {
  return planEngineGroups(createPlanInput(changes));
}

/** Describes orders as `kind incarnation` and changes of groups as `type name`. */
export function describeActions(actions: readonly EngineAction[]): string[] {
  return actions.map(action => {
    if (action.type === 'order') {
      return `${action.kind} ${action.incarnation}`;
    }
    const {name} = action.type === 'set-group' ? action.group : action;
    return `${action.type} ${name}`;
  });
}
