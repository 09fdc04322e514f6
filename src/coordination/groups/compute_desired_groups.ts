import {EngineProfile} from '../../protocol/engine_profile';
import {computeSpares} from './compute_spares';

/**
 * How many groups of each model a pool should have: its share of the hosts,
 * without the spares. It follows from the hosts that there are, so that a new
 * leader knows it at once, also in the middle of repairs.
 *
 * @param domains engines of the pool that are well, counted by fabric domain
 * @example
 * const usual = computeUsualGroups(pool.engine, [8, 8, 8]);
 */
export function computeDesiredGroups(
  {models}: EngineProfile,
  domains: readonly number[],
): Map<string, number> {
  const used = computeSum(domains.map(hosts => hosts - computeSpares(hosts)));
  const most = computeSum(domains);
  const total = computeSum(models.map(model => model.share));
  return new Map(
    models.map(({name, size, share}) => {
      const own = total > 0 ? (used * share) / total : 0;
      const isWanted = share > 0 && most >= size;
      return [name, Math.max(Math.round(own / size), isWanted ? 1 : 0)];
    }),
  );
}

function computeSum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}
