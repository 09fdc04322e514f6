import {formatOddJson} from './format_odd_json';

/** Services of servers whose registrations, and whose answers, are drawn. */
const REGISTERED = ['own0', 'own1', 'own2', 'own3', 'far'];
const ANSWERING = ['answer0', 'answer1', 'answer2', 'answer3'];
const SOUND_KINDS = {g: 'safe', u: 'unsafe', s: 'stream', a: 'safe'} as const;
const TIMEOUT_MS = 2_000;
/** Holds the requests of the check for lost slots. */
const HOLD_TIMEOUT_MS = 6_000;

/** What one configuration has besides the sound parts. */
interface DrawnParts {
  readonly route?: unknown;
  readonly service?: unknown;
  readonly tenant?: unknown;
  readonly limits?: unknown;
}

const LIMITS = {
  max_header_bytes: 16_384,
  max_body_bytes: 65_536,
  header_timeout_ms: 3_000,
  idle_timeout_ms: 15_000,
};

/**
 * Formats a configuration: the same sound routes, services and tenant every time, a
 * route that only this version has, and drawn parts.
 *
 * @example
 * createConfiguration(7, {route: {host: '☃'}});
 */
export function createConfiguration(
  version: number,
  {route, service, tenant, limits = LIMITS}: DrawnParts = {},
): string {
  const routes = [
    ...Object.entries(SOUND_KINDS).map(([name, kind]) =>
      createRoute(`/sound/${name}/`, 'sound', kind, name === 'a'),
    ),
    createRoute(`/v${version}/`, 'sound', 'safe', true),
    createRoute('/orders/', 'engine', 'stream', true),
    ...REGISTERED.map(name => createRoute(`/${name}/`, name, 'safe', true)),
    ...ANSWERING.map((name, at) =>
      createRoute(`/${name}/`, name, at % 2 ? 'stream' : 'safe', true),
    ),
  ];
  const names = [...REGISTERED, ...ANSWERING];
  const text = formatOddJson({
    version,
    routes: [...routes, ...(route === undefined ? [] : [route])],
    services: [
      {name: 'sound', max_connections: 200},
      {name: 'engine', max_connections: 50, engine: createEngine()},
      ...names.map(name => ({name, max_connections: 100})),
      ...(service === undefined ? [] : [service]),
    ],
    limits,
    tenants: [
      {name: 'sound', api_keys: ['sound-key']},
      ...(tenant === undefined ? [] : [tenant]),
    ],
  });
  return text.replaceAll('{version}', String(version));
}

function createRoute(
  path_prefix: string,
  service: string,
  route_type: string,
  allow_anonymous: boolean,
) {
  return {
    name: `r${path_prefix}`,
    host: 'sound.example',
    path_prefix,
    route_type,
    timeout_ms: path_prefix === '/sound/g/' ? HOLD_TIMEOUT_MS : TIMEOUT_MS,
    target_latency_ms: 500,
    service,
    max_attempts: 2,
    allow_anonymous,
    resumable: route_type === 'stream',
  };
}

function createEngine() {
  return {
    slots: 8,
    kv_tokens: 100_000,
    models: [
      {name: 'm1', size: 2, share: 1, pace: 1, load_s: 0.1, warm_s: 0.1},
    ],
    step_ms: 5,
    per_seq_ms: 0.3,
    read_per_s: 40_000,
    chunk: 2_048,
  };
}
