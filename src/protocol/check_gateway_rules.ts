import {GatewayRules} from './gateway_rules';
import {ProtocolError} from './protocol_error';

/**
 * Checks what the schema of the rules cannot: that every route leads somewhere,
 * that no two stand at one place, and that a key belongs to one workspace.
 *
 * @throws ProtocolError telling which route or workspace is wrong
 * @example
 * checkGatewayRules(rules);
 */
export function checkGatewayRules(rules: GatewayRules): void {
  checkTargets(rules);
  checkPlaces(rules);
  checkKeys(rules);
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

function checkPlaces({routes}: GatewayRules): void {
  const places = new Set<string>();
  for (const {host, pathPrefix} of routes) {
    const place = `${host.toLowerCase()} ${pathPrefix}`;
    if (places.has(place)) {
      throw new ProtocolError('two routes stand at %s', place);
    }
    places.add(place);
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
