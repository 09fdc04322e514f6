/** Places whose loads differ by less are equals. */
const LEAST_SPREAD = 1;

/**
 * Chooses where a request goes while others choose beside it, unseen.
 *
 * All who know the same old loads and each take the least one come to the same
 * place together, the more so the more they are. So each draws in proportion to what a place lacks to the level that all would have
 * once the unseen work is spread over the lowest of them.
 *
 * @param loads known work of each place
 * @param unseen work that came since the loads were known; with none the least busy is chosen
 * @param random uniform in [0, 1)
 * @returns the index of a place; -1 when there is none
 * @example
 * const at = chooseByLevel([4_000, 5_250], 750, Math.random());
 */
export function chooseByWaterFilling(
  loads: readonly number[],
  unseen: number,
  random: number,
): number {
  const spread = Math.max(unseen, LEAST_SPREAD);
  const level = computeLevel(loads, spread);
  let rest = random * spread;
  let last = -1;
  for (const [at, load] of loads.entries()) {
    if (load < level) {
      last = at;
      rest -= level - load;
      if (rest < 0) {
        break;
      }
    }
  }
  return last;
}

/** The level to which the unseen work fills the lowest places up. */
function computeLevel(loads: readonly number[], unseen: number): number {
  const sorted = [...loads].sort((left, right) => left - right);
  let filled = unseen;
  let level = Infinity;
  for (const [at, load] of sorted.entries()) {
    if (load >= level) {
      break;
    }
    filled += load;
    level = filled / (at + 1);
  }
  return level;
}
