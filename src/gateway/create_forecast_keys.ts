import {GatewayRules} from '../protocol/gateway_rules';

/** Whose names they are. */
interface WorkNamesInput {
  readonly route: Pick<GatewayRules['routes'][number], 'name'>;
  readonly pool: Pick<GatewayRules['pools'][number], 'name' | 'engine'>;
  readonly model: string | undefined;
}

/** Under which names a request is measured. */
interface WorkNames {
  /** Work of one route at one pool takes alike. */
  readonly work: string;
  /** Requests for one model of one pool wait in one line; those for plain services in none. */
  readonly line: string | undefined;
}

/**
 * Names the work of a request, and the line in which it waits.
 *
 * @example
 * const {work, line} = createWorkNames({route, pool, model: request.model});
 */
export function createForecastKeys(input: WorkNamesInput): WorkNames {
  const {route, pool, model = ''} = input;
  return {
    work: `${route.name} ${pool.name}`,
    line: pool.engine && `${pool.name} ${model}`,
  };
}
