/** Conditions on the fleet's status that scenarios wait for. */
import {FleetStatus} from '../../src/protocol/fleet_status';
import {StepArguments} from './scenario';

/** Lists the conditions of a `waitFor` step on the fleet's status. */
export function listConditions(
  value: StepArguments['waitFor'],
  resolveName: (id: string) => string,
): Array<(status: FleetStatus) => boolean> {
  const {
    serving,
    group,
    noGroup,
    bundleEverywhere,
    leaderIsNot,
    votersReachable,
  } = value;
  const conditions: Array<(status: FleetStatus) => boolean> = [];
  if (serving !== undefined) {
    conditions.push(
      ({groups}) =>
        groups.filter(({isServing}) => isServing).length === serving,
    );
  }
  if (group) {
    conditions.push(({groups}) =>
      groups.some(found => matchesGroup(found, group)),
    );
  }
  if (noGroup) {
    conditions.push(({groups}) => !groups.some(found => found.id === noGroup));
  }
  if (bundleEverywhere !== undefined) {
    conditions.push(
      ({bundle}) =>
        bundle.version === bundleEverywhere && bundle.inForce === bundle.of,
    );
  }
  if (leaderIsNot) {
    const name = resolveName(leaderIsNot);
    conditions.push(({leader}) => leader.split('/')[0] !== name);
  }
  if (votersReachable !== undefined) {
    conditions.push(
      ({voters, isChangingVoters}) =>
        !isChangingVoters &&
        voters.filter(voter => voter.isReachable && voter.isCaughtUp).length ===
          votersReachable,
    );
  }
  return conditions;
}

function matchesGroup(
  found: FleetStatus['groups'][number],
  wanted: NonNullable<StepArguments['waitFor']['group']>,
): boolean {
  const hosts = found.members.map(member => member.hostId);
  return (
    found.id === wanted.id &&
    (wanted.isServing === undefined || found.isServing === wanted.isServing) &&
    (wanted.without === undefined || !hosts.includes(wanted.without)) &&
    (wanted.with === undefined || hosts.includes(wanted.with)) &&
    found.epoch >= (wanted.epochAtLeast ?? 0)
  );
}
