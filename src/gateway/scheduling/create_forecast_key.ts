import {GatewayRules} from '../../protocol/gateway_rules';

interface ForecastKeyInput {
  readonly route: Pick<GatewayRules['routes'][number], 'name'>;
  readonly pool: Pick<GatewayRules['pools'][number], 'name'>;
}

/**
 * Creates the key under which the forecast aggregates requests that are alike:
 * those of one route at one pool take similar times.
 *
 * @example
 * const work = createForecastKey({route, pool});
 */
export function createForecastKey({route, pool}: ForecastKeyInput): string {
  return `${route.name} ${pool.name}`;
}
