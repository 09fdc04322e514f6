import {EngineProfile} from '../protocol/engine_profile';
import {SPARE_SHARE} from './spare_share';

/**
 * How many groups of each model a pool should have: its share of the hosts,
 * without the spares. It follows from the hosts that there are, so that a new
 * leader knows it at once, also in the middle of repairs.
 *
 * @param hosts engines of the pool that are well
 * @example
 * const usual = computeUsualGroups(pool.engine, 24);
 */
export function computeUsualGroups(
  {models}: EngineProfile,
  hosts: number,
): Map<string, number> {
  const used = hosts * (1 - SPARE_SHARE);
  const total = models.reduce((sum, model) => sum + model.share, 0);
  return new Map(
    models.map(({name, size, share}) => {
      const own = total > 0 ? (used * share) / total : 0;
      const isWanted = share > 0 && hosts >= size;
      return [name, Math.max(Math.round(own / size), isWanted ? 1 : 0)];
    }),
  );
}
