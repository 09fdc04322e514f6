import {GatewayRules} from './gateway_rules';
import {ProtocolError} from './protocol_error';

/**
 * Checks constraints between fields, which the schema cannot express: every route
 * has a known pool with a weight over 0, no two routes share a host and path prefix,
 * no two pools and no two models of a pool share a name, and a key belongs to one
 * workspace.
 *
 * @throws ProtocolError that names the invalid route or workspace
 * @example
 * checkGatewayRules(rules);
 */
export function checkGatewayRules(rules: GatewayRules): void {
  checkNames(rules);
  checkTargets(rules);
  checkDuplicates(rules);
  checkKeys(rules);
}

function checkNames({pools}: GatewayRules): void {
  const repeated = findRepeated(pools.map(pool => pool.name));
  if (repeated !== undefined) {
    throw new ProtocolError('two pools are named "%s"', repeated);
  }
  for (const {name, engine} of pools) {
    const model = findRepeated(engine?.models.map(each => each.name) ?? []);
    if (model !== undefined) {
      throw new ProtocolError('pool %s has two models "%s"', name, model);
    }
  }
}

function findRepeated(names: readonly string[]): string | undefined {
  const seen = new Set<string>();
  return names.find(name => seen.size === seen.add(name).size);
}

function checkTargets({routes, pools}: GatewayRules): void {
  const known = new Set(pools.map(pool => pool.name));
  for (const {name, targets} of routes) {
    if (targets.length === 0) {
      throw new ProtocolError('route %s names no pool', name);
    }
    const unknown = targets.find(target => !known.has(target.pool));
    if (unknown) {
      throw new ProtocolError(
        'route %s names the unknown pool "%s"',
        name,
        unknown.pool,
      );
    }
    if (targets.every(target => target.weight === 0)) {
      throw new ProtocolError('the weights of route %s add up to 0', name);
    }
  }
}

function checkDuplicates({routes}: GatewayRules): void {
  const locations = new Set<string>();
  for (const {host, pathPrefix} of routes) {
    const location = `${host.toLowerCase()} ${pathPrefix}`;
    if (locations.has(location)) {
      throw new ProtocolError('two routes stand at %s', location);
    }
    locations.add(location);
  }
}

function checkKeys({workspaces = []}: GatewayRules): void {
  const owners = new Map<string, string>();
  for (const {name, keyHashes} of workspaces) {
    for (const hash of keyHashes) {
      const owner = owners.get(hash) ?? name;
      if (owner !== name) {
        throw new ProtocolError('%s and %s share a key', owner, name);
      }
      owners.set(hash, name);
    }
  }
}
