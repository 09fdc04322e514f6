import {GatewayRules} from '../../protocol/gateway_rules';

/**
 * Lists the urgencies that the rules give to requests for a pool: the priorities of
 * the routes that reach it, and those that workspaces have instead.
 *
 * @example
 * const urgencies = listUrgencies(rules, 'chat'); // [0, 1, 2]
 */
export function listUrgencies(
  {routes, workspaces = []}: Pick<GatewayRules, 'routes' | 'workspaces'>,
  pool: string,
): number[] {
  const reaching = routes.filter(({targets}) =>
    targets.some(target => target.pool === pool && target.weight > 0),
  );
  if (reaching.length === 0) {
    return [];
  }
  const ownPriorities = workspaces.flatMap(({priority}) => priority ?? []);
  const priorities = reaching.map(({priority}) => priority);
  return [...new Set([...priorities, ...ownPriorities])].sort(
    (left, right) => left - right,
  );
}
