import {GatewayRules} from '../../protocol/gateway_rules';

interface ForecastKeysInput {
  readonly route: Pick<GatewayRules['routes'][number], 'name'>;
  readonly pool: Pick<GatewayRules['pools'][number], 'name' | 'engine'>;
  readonly model: string | undefined;
}

/** Keys under which the forecast aggregates requests that are alike. */
interface ForecastKeys {
  /** Requests of one route at one pool take similar times. */
  readonly work: string;
  /** The queue for slots: one per pool and model; none for services without engines. */
  readonly queue: string | undefined;
}

/**
 * Creates the keys of a request: its kind of work and the queue in which it waits.
 *
 * @example
 * const {work, queue} = createForecastKeys({route, pool, model: request.model});
 */
export function createForecastKeys(input: ForecastKeysInput): ForecastKeys {
  const {route, pool, model = ''} = input;
  return {
    work: `${route.name} ${pool.name}`,
    queue: pool.engine && `${pool.name} ${model}`,
  };
}
