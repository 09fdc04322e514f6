/** Decides what free hosts load in advance, so that a repair need not wait for the weight store. */
import {Group} from '../../protocol/group';
import {GroupPlanInput} from './group_plan_input';
import {HostView} from './host_view';
import {listDemands} from './list_demands';

/**
 * For each free host, the model of its domain whose groups are worth most.
 *
 * @returns model name by host id
 * @example
 * const standby = planStandby(input);
 */
export function planStandby(input: GroupPlanInput): Map<string, string> {
  const standby = new Map<string, string>();
  for (const host of input.hosts) {
    if (isFreeEngine(host)) {
      const model = findModel(host.report.domain, input);
      if (model !== undefined) {
        standby.set(host.report.hostId, model);
      }
    }
  }
  return standby;
}

function isFreeEngine({report}: HostView): boolean {
  return report.backend?.kind === 'model' && report.assignment === null;
}

function findModel(domain: string, input: GroupPlanInput): string | undefined {
  const groups = input.groups.filter(
    group => group.kind === 'model' && group.domain === domain,
  );
  const worthOf = (name: string) => {
    const worth =
      listDemands(input.bundle).find(demand => demand.name === name)?.worth ??
      0;
    return worth * groups.filter((group: Group) => group.name === name).length;
  };
  const names = [...new Set(groups.map(group => group.name))];
  return names.sort((left, right) => worthOf(right) - worthOf(left))[0];
}
