/**
 * The cost of every way to deal with a broken group.
 *
 * Both measures are counted in accelerator-seconds: a group that is down loses
 * those of all its hosts, a stranded accelerator loses its own. The bundle's
 * weights say what each is worth.
 */
import {BrokenGroup} from './broken_group';
import {estimateRecovery} from './estimate_recovery';
import {RepairOption} from './repair_option';

const MS_PER_SECOND = 1_000;
/** Beyond this, hosts are taken to have come back or been replaced by other means. */
const HORIZON_MS = 300_000;
/** A decision to wait is looked at again this often. */
const PATIENCE_MS = 2_000;
/** Expected further loss of a group whose member is lost again and again, per earlier loss. */
const RELAPSE_MS = 5_000;

/**
 * Computes the cost of each option that exists, cheapest first; a pure function.
 *
 * @example
 * const [best] = computeRepairCosts(brokenGroup);
 */
export function computeRepairCosts(group: BrokenGroup): RepairOption[] {
  const acting = listActions(group);
  const cheapest = Math.min(...acting.map(option => option.cost));
  const options = [
    ...acting,
    {action: 'wait' as const, cost: computeWaitCost(group, cheapest)},
  ];
  return options.sort((left, right) => left.cost - right.cost);
}

function listActions(group: BrokenGroup): RepairOption[] {
  const {weights, worth, size, survivors, acceleratorsPerHost} = group;
  const downRate = weights.groupDowntime * worth * size * acceleratorsPerHost;
  const strandRate = weights.strandedAccelerators * acceleratorsPerHost;
  const survivorsFor = (ms: number) =>
    computeSeconds(ms) * strandRate * survivors;
  const freedMs = group.canReassignSurvivors ? group.spareLoadMs : HORIZON_MS;
  const options: RepairOption[] = [];
  if (group.canReassignSurvivors) {
    const cost = computeSeconds(HORIZON_MS) * downRate + survivorsFor(freedMs);
    options.push({action: 'break-up', cost});
  }
  if (group.hasSpares) {
    const cost =
      computeSeconds(group.spareLoadMs) * downRate +
      survivorsFor(group.spareLoadMs);
    options.push({action: 'spare', cost});
  }
  if (group.canRebuild) {
    // The free hosts of the other domain were stranded, too, and serve afterwards.
    const gained =
      computeSeconds(HORIZON_MS - group.rebuildLoadMs) * strandRate * size;
    const cost =
      computeSeconds(group.rebuildLoadMs) * downRate + survivorsFor(freedMs);
    options.push({action: 'rebuild', cost: Math.max(cost - gained, cost / 2)});
  }
  if (group.donorWorth !== undefined) {
    const donorRate = (downRate / worth) * group.donorWorth;
    const left = computeSeconds(HORIZON_MS) * strandRate * survivors;
    const cost =
      computeSeconds(group.spareLoadMs) * downRate +
      survivorsFor(group.spareLoadMs) +
      computeSeconds(HORIZON_MS) * donorRate +
      left;
    options.push({action: 'take', cost});
  }
  return options;
}

function computeWaitCost(group: BrokenGroup, cheapest: number): number {
  if (group.hasRestarted) {
    // The member is back, but empty: nothing is gained by waiting for the old one.
    return Infinity;
  }
  const {weights, worth, size, survivors, acceleratorsPerHost} = group;
  const rate =
    weights.groupDowntime * worth * size * acceleratorsPerHost +
    weights.strandedAccelerators * acceleratorsPerHost * survivors;
  const {probability, meanMs} = estimateRecovery(group.silentMs);
  const relapse = computeSeconds(group.recentLosses * RELAPSE_MS) * rate;
  const ifBack = computeSeconds(meanMs) * rate + relapse;
  const ifNot = computeSeconds(PATIENCE_MS) * rate + cheapest;
  return probability * ifBack + (1 - probability) * ifNot;
}

function computeSeconds(ms: number): number {
  return ms / MS_PER_SECOND;
}
