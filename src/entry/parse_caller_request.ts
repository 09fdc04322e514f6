/** Validates a caller's request against the current bundle. */
import {IncomingMessage} from 'node:http';
import {Bundle} from '../protocol/bundle';
import {CallerRequest} from './caller_request';
import {Problem} from './problem';

const DEFAULT_DEADLINE_MS = 120_000;
const MAX_DEADLINE_MS = 3_600_000;
const MAX_KEY_CHARACTERS = 200;
/** A host process takes no longer one: it would close the connection with all other requests on it. */
const MAX_PATH_CHARACTERS = 8_192;
const COMPLETIONS_PATH = '/v1/chat/completions';
const SERVICES_PREFIX = '/services/';
/** Headers for the entry or the caller's connection only. */
const NOT_FORWARDED_HEADERS = new Set([
  'authorization',
  'connection',
  'content-length',
  'expect',
  'host',
  'idempotency-key',
  'keep-alive',
  'proxy-authorization',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
]);

/** A caller's request and what it is validated against. */
interface ParseInput {
  readonly request: IncomingMessage;
  readonly body: Buffer;
  readonly bundle: Bundle;
  /** Workspace that the request's key belongs to. */
  readonly workspace: Bundle['workspaces'][number];
  readonly requestId: string;
  /** Milliseconds on this process's monotonic clock. */
  readonly now: number;
}

type Target = Pick<CallerRequest, 'kind' | 'name' | 'path'>;

/**
 * Validates a request and resolves the model or service it calls.
 *
 * @returns the request, or the problem to respond with; the request has not run then
 * @example
 * const parsed = parseCallerRequest({request, body, bundle, workspace, requestId, now});
 */
export function parseCallerRequest(input: ParseInput): CallerRequest | Problem {
  const {request, body, bundle, workspace, requestId, now} = input;
  const target = findTarget(request, body, bundle);
  if ('status' in target) {
    return target;
  }
  const header = (name: string) => request.headers[name]?.toString();
  const deadlineMs = Number(
    header('whinreel-deadline-ms') ?? DEFAULT_DEADLINE_MS,
  );
  if (!(deadlineMs > 0 && deadlineMs <= MAX_DEADLINE_MS)) {
    return createProblem(
      400,
      'Wrong deadline',
      'Whinreel-Deadline-Ms takes 1 to 3600000 milliseconds',
    );
  }
  const priority = Number(header('whinreel-priority') ?? workspace.priority);
  if (!(Number.isInteger(priority) && priority >= 0 && priority <= 9)) {
    return createProblem(
      400,
      'Wrong priority',
      'Whinreel-Priority takes a whole number from 0 to 9',
    );
  }
  const key = header('idempotency-key');
  if (
    key !== undefined &&
    (key.length === 0 || key.length > MAX_KEY_CHARACTERS)
  ) {
    return createProblem(
      400,
      'Wrong key',
      'Idempotency-Key takes 1 to 200 characters',
    );
  }
  const isMarkedOnce = header('whinreel-not-repeatable') === 'true';
  return {
    requestId,
    workspace: workspace.name,
    priority: Math.min(priority, workspace.priority),
    ...target,
    method: request.method ?? 'GET',
    headers: copyHeaders(request),
    body,
    isRepeatable:
      !isMarkedOnce && !isNotRepeatableRoute(request, target, bundle),
    idempotencyKey: key ?? requestId,
    deadline: now + deadlineMs,
  };
}

function findTarget(
  request: IncomingMessage,
  body: Buffer,
  bundle: Bundle,
): Target | Problem {
  const url = request.url ?? '/';
  if (url === COMPLETIONS_PATH && request.method === 'POST') {
    return findModel(body, bundle);
  }
  if (url.startsWith(SERVICES_PREFIX)) {
    return findService(url, bundle);
  }
  return createProblem(
    404,
    'Unknown path',
    `try POST ${COMPLETIONS_PATH} or ${SERVICES_PREFIX}NAME/PATH`,
  );
}

function findModel(body: Buffer, bundle: Bundle): Target | Problem {
  let name: unknown;
  try {
    name = (JSON.parse(body.toString()) as {model?: unknown} | null)?.model;
  } catch {
    return createProblem(400, 'Wrong body', 'the body is not JSON');
  }
  const model = bundle.models.find(known => known.name === name);
  if (!model) {
    const names = bundle.models.map(known => known.name).join(', ');
    return createProblem(
      404,
      'Unknown model',
      `"model" must be one of: ${names}`,
    );
  }
  return {kind: 'model', name: model.name, path: COMPLETIONS_PATH};
}

function findService(url: string, bundle: Bundle): Target | Problem {
  const rest = url.slice(SERVICES_PREFIX.length);
  const nameEnd = rest.search(/[/?]|$/);
  const name = rest.slice(0, nameEnd);
  if (!bundle.services.some(known => known.name === name)) {
    const names = bundle.services.map(known => known.name).join(', ');
    return createProblem(
      404,
      'Unknown service',
      `the service must be one of: ${names}`,
    );
  }
  const path = rest.slice(nameEnd);
  if (path.length >= MAX_PATH_CHARACTERS) {
    return createProblem(
      414,
      'Long path',
      `the path takes fewer than ${MAX_PATH_CHARACTERS} characters`,
    );
  }
  return {
    kind: 'service',
    name,
    path: path.startsWith('/') ? path : `/${path}`,
  };
}

function isNotRepeatableRoute(
  request: IncomingMessage,
  target: Target,
  bundle: Bundle,
): boolean {
  const service = bundle.services.find(known => known.name === target.name);
  return (
    target.kind === 'service' &&
    (service?.notRepeatable ?? []).some(
      rule =>
        rule.method === request.method &&
        target.path.startsWith(rule.pathPrefix),
    )
  );
}

function copyHeaders(request: IncomingMessage): Record<string, string> {
  const headers: Record<string, string> = {};
  for (const [name, value] of Object.entries(request.headers)) {
    if (
      value !== undefined &&
      !NOT_FORWARDED_HEADERS.has(name) &&
      !name.startsWith('whinreel-')
    ) {
      headers[name] = value.toString();
    }
  }
  return headers;
}

function createProblem(status: number, title: string, detail: string): Problem {
  return {status, title, detail, outcome: 'not-run'};
}
