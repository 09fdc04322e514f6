/**
 * Cost model for repairing a group that lost members.
 *
 * Costs are in accelerator-seconds: a group that is down loses those of all its
 * hosts, a stranded accelerator loses its own. The bundle's weights convert both
 * into one cost.
 */
import {BrokenGroup} from './broken_group';
import {estimateRecovery} from './estimate_recovery';
import {RepairOption} from './repair_option';

const MS_PER_SECOND = 1_000;
/** Planning horizon; by then hosts are assumed to be back or replaced by other means. */
const HORIZON_MS = 300_000;
/** Time after which a decision to wait is reconsidered. */
const RECONSIDER_MS = 2_000;
/** Expected downtime through another loss of a flapping member, per recent loss. */
const RELAPSE_MS_PER_LOSS = 5_000;

/**
 * Computes the cost of each available option, cheapest first. Pure function.
 *
 * @example
 * const [best] = computeRepairCosts(brokenGroup);
 */
export function computeRepairCosts(group: BrokenGroup): RepairOption[] {
  const repairs = listRepairs(group);
  const cheapest = Math.min(...repairs.map(option => option.cost));
  const options = [
    ...repairs,
    {action: 'wait' as const, cost: computeWaitCost(group, cheapest)},
  ];
  return options.sort((left, right) => left.cost - right.cost);
}

function listRepairs(group: BrokenGroup): RepairOption[] {
  const {weights, worth, size, survivors, acceleratorsPerHost} = group;
  const downRate = weights.groupDowntime * worth * size * acceleratorsPerHost;
  const strandedRate = weights.strandedAccelerators * acceleratorsPerHost;
  const computeSurvivorCost = (ms: number) =>
    computeSeconds(ms) * strandedRate * survivors;
  const survivorIdleMs = group.canReassignSurvivors
    ? group.spareLoadMs
    : HORIZON_MS;
  const options: RepairOption[] = [];
  if (group.canReassignSurvivors) {
    const cost =
      computeSeconds(HORIZON_MS) * downRate +
      computeSurvivorCost(survivorIdleMs);
    options.push({action: 'break-up', cost});
  }
  if (group.hasSpares) {
    const cost =
      computeSeconds(group.spareLoadMs) * downRate +
      computeSurvivorCost(group.spareLoadMs);
    options.push({action: 'spare', cost});
  }
  if (group.canRebuild) {
    // The hosts of the other domain are stranded as well until the new group serves.
    const saved =
      computeSeconds(HORIZON_MS - group.rebuildLoadMs) * strandedRate * size;
    const cost =
      computeSeconds(group.rebuildLoadMs) * downRate +
      computeSurvivorCost(survivorIdleMs);
    options.push({action: 'rebuild', cost: Math.max(cost - saved, cost / 2)});
  }
  if (group.donorWorth !== undefined) {
    const donorRate = (downRate / worth) * group.donorWorth;
    const remaining = computeSeconds(HORIZON_MS) * strandedRate * survivors;
    const cost =
      computeSeconds(group.spareLoadMs) * downRate +
      computeSurvivorCost(group.spareLoadMs) +
      computeSeconds(HORIZON_MS) * donorRate +
      remaining;
    options.push({action: 'take', cost});
  }
  return options;
}

function computeWaitCost(group: BrokenGroup, cheapest: number): number {
  if (group.hasRestarted) {
    // The member has restarted without its state, so waiting for the old process gains nothing.
    return Infinity;
  }
  const {weights, worth, size, survivors, acceleratorsPerHost} = group;
  const rate =
    weights.groupDowntime * worth * size * acceleratorsPerHost +
    weights.strandedAccelerators * acceleratorsPerHost * survivors;
  const {probability, meanMs} = estimateRecovery(group.silentMs);
  const relapseCost =
    computeSeconds(group.recentLosses * RELAPSE_MS_PER_LOSS) * rate;
  const costIfBack = computeSeconds(meanMs) * rate + relapseCost;
  const costIfGone = computeSeconds(RECONSIDER_MS) * rate + cheapest;
  return probability * costIfBack + (1 - probability) * costIfGone;
}

function computeSeconds(ms: number): number {
  return ms / MS_PER_SECOND;
}
