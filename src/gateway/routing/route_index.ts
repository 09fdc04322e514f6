/** Looks up routes, workspaces and pools in one version of the rules. */
import {GatewayRules} from '../../protocol/gateway_rules';
import {computeDigest} from '../../protocol/compute_digest';

type Route = GatewayRules['routes'][number];
type Pool = GatewayRules['pools'][number];
type Workspace = NonNullable<GatewayRules['workspaces']>[number];

/** Indexes that are built once for each version. */
export class RouteIndex {
  private readonly routesByHost = new Map<string, Route[]>();
  private readonly workspaceByHash = new Map<string, Workspace>();
  private readonly pools: ReadonlyMap<string, Pool>;
  /** True if routes or workspaces have different priorities; without a difference, none is sent to backend servers. */
  readonly hasPriorities: boolean;

  private constructor(readonly rules: GatewayRules) {
    for (const route of rules.routes) {
      const host = route.host.toLowerCase();
      const routes = this.routesByHost.get(host) ?? [];
      routes.push(route);
      this.routesByHost.set(host, routes);
    }
    for (const routes of this.routesByHost.values()) {
      routes.sort(
        (left, right) => right.pathPrefix.length - left.pathPrefix.length,
      );
    }
    for (const workspace of rules.workspaces ?? []) {
      workspace.keyHashes.forEach(hash =>
        this.workspaceByHash.set(hash, workspace),
      );
    }
    this.pools = new Map(rules.pools.map(pool => [pool.name, pool]));
    const workspaces = rules.workspaces ?? [];
    const priorities = [
      ...rules.routes.map(({priority}) => priority),
      ...workspaces.flatMap(({priority}) => priority ?? []),
    ];
    this.hasPriorities = new Set(priorities).size > 1;
  }

  /**
   * Builds the indexes.
   *
   * @example
   * const index = RouteIndex.create(rules);
   * const route = index.findRoute('example.org', '/v1/chat');
   */
  static create(rules: GatewayRules): RouteIndex {
    return new RouteIndex(rules);
  }

  /** Returns the route with the longest prefix that matches a path. */
  findRoute(host: string, path: string): Route | undefined {
    const [pathOnly] = path.split('?', 1);
    return this.routesByHost
      .get(host)
      ?.find(route => pathOnly.startsWith(route.pathPrefix));
  }

  findPool(name: string): Pool | undefined {
    return this.pools.get(name);
  }

  /** True if the rules define workspaces; requests to routes that are not anonymous need a key then. */
  get hasWorkspaces(): boolean {
    return this.rules.workspaces !== undefined;
  }

  findWorkspace(key: string | undefined): Workspace | undefined {
    return key === undefined
      ? undefined
      : this.workspaceByHash.get(computeDigest(key));
  }
}
