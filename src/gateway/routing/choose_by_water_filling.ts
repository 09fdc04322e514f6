/** Loads that differ by less count as equal. */
const MIN_SPREAD = 1;

/**
 * Chooses a target when other processes choose at the same time without seeing
 * each other's choices.
 *
 * If every process took the least loaded target of the same stale loads, all
 * would send to the same one, and the more of them there are the worse. So each
 * draws a target at random, weighted by how far its load is below the level
 * that all targets would have once the unreported load is spread over the least
 * loaded of them (water-filling).
 *
 * @param loads known load of each target
 * @param unreported load added since the loads were reported; at 0 the least
 * loaded target is chosen
 * @param random uniform in [0, 1)
 * @returns the index of a target; -1 if there is none
 * @example
 * const index = chooseByWaterFilling([4_000, 5_250], 750, Math.random());
 */
export function chooseByWaterFilling(
  loads: readonly number[],
  unreported: number,
  random: number,
): number {
  const spread = Math.max(unreported, MIN_SPREAD);
  const level = computeLevel(loads, spread);
  let remaining = random * spread;
  let last = -1;
  for (const [index, load] of loads.entries()) {
    if (load < level) {
      last = index;
      remaining -= level - load;
      if (remaining < 0) {
        break;
      }
    }
  }
  return last;
}

/**
 * Returns the level to which the unreported load fills up the least loaded
 * targets.
 */
function computeLevel(loads: readonly number[], unreported: number): number {
  const sorted = [...loads].sort((left, right) => left - right);
  let filled = unreported;
  let level = Infinity;
  for (const [index, load] of sorted.entries()) {
    if (load >= level) {
      break;
    }
    filled += load;
    level = filled / (index + 1);
  }
  return level;
}
