import {GatewayRules} from '../../protocol/gateway_rules';

type Targets = GatewayRules['routes'][number]['targets'];

/**
 * Chooses a pool at random by the weights of the route.
 *
 * @param random uniform in [0, 1)
 * @example
 * const pool = choosePool(route.targets, Math.random());
 */
export function choosePool(targets: Targets, random: number): string {
  const total = targets.reduce((sum, target) => sum + target.weight, 0);
  let remaining = random * total;
  for (const {pool, weight} of targets) {
    remaining -= weight;
    if (remaining < 0) {
      return pool;
    }
  }
  return targets[targets.length - 1].pool;
}
