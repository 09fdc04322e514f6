import {soakRoutes} from './soak_routes';

/** A configuration with one route that only this version has. */
export function formatBundle(version: number): string {
  const own = {route_type: 'safe', timeout_ms: 2_000, max_attempts: 1} as const;
  const routes = {...soakRoutes, [`/v${version}/`]: own};
  return JSON.stringify({
    version,
    routes: Object.entries(routes).map(([path_prefix, route]) => ({
      ...route,
      name: path_prefix,
      host: 'h.example',
      path_prefix,
      target_latency_ms: 300,
      service: 'p',
      allow_anonymous: true,
    })),
    services: [{name: 'p', max_connections: 50}],
    limits: {
      max_header_bytes: 16_384,
      max_body_bytes: 65_536,
      header_timeout_ms: 3_000,
      idle_timeout_ms: 15_000,
    },
  });
}
