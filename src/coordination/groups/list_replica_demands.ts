import {Bundle} from '../../protocol/bundle';
import {ReplicaDemand} from './replica_demand';

/**
 * Lists the replicas that a bundle requests, highest worth first.
 *
 * @example
 * const demands = listReplicaDemands(bundle);
 */
export function listReplicaDemands(bundle: Bundle): ReplicaDemand[] {
  const models = bundle.models.map(model => ({
    kind: 'model' as const,
    ...model,
  }));
  const services = bundle.services.map(service => ({
    kind: 'service' as const,
    ...service,
    hostsPerReplica: 1,
    loadSeconds: 0,
  }));
  return [...models, ...services].sort(
    (left, right) => right.worth - left.worth,
  );
}
