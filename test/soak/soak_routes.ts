/** Kinds of request by the beginning of their path. */
interface SoakRoute {
  readonly route_type: 'safe' | 'unsafe' | 'stream';
  readonly timeout_ms: number;
  readonly max_attempts: number;
  readonly resumable?: boolean;
}

/** The routes of every configuration. */
export const soakRoutes: Readonly<Record<string, SoakRoute>> = {
  '/a/': {route_type: 'unsafe', timeout_ms: 2_000, max_attempts: 1},
  '/g/': {route_type: 'safe', timeout_ms: 2_000, max_attempts: 2},
  '/s/': {route_type: 'stream', timeout_ms: 4_000, max_attempts: 1},
  '/r/': {
    route_type: 'stream',
    timeout_ms: 4_000,
    max_attempts: 3,
    resumable: true,
  },
};
