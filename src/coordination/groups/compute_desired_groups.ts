import {EngineProfile} from '../../protocol/engine_profile';
import {computeSpares} from './compute_spares';

/**
 * Computes the desired number of groups of each model of a pool: its share of the
 * hosts, spares excluded. It depends only on the present hosts, so a new leader
 * arrives at the same result, even during repairs.
 *
 * @param domains number of healthy engines in each fabric domain of the pool
 * @example
 * const desiredGroups = computeDesiredGroups(pool.engine, [8, 8, 8]);
 */
export function computeDesiredGroups(
  {models}: EngineProfile,
  domains: readonly number[],
): Map<string, number> {
  const used = computeSum(domains.map(hosts => hosts - computeSpares(hosts)));
  const totalHosts = computeSum(domains);
  const total = computeSum(models.map(model => model.share));
  return new Map(
    models.map(({name, size, share}) => {
      const hosts = total > 0 ? (used * share) / total : 0;
      const isWanted = share > 0 && totalHosts >= size;
      return [name, Math.max(Math.round(hosts / size), isWanted ? 1 : 0)];
    }),
  );
}

function computeSum(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0);
}
