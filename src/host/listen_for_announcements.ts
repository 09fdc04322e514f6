/** Local HTTP endpoint where the backend server announces itself. */
import {IncomingMessage, ServerResponse} from 'node:http';
import {BackendAnnouncement} from '../protocol/backend_announcement';
import {BODY_ERROR_STATUS} from '../transport/body_error_status';
import {BodyBudget} from '../transport/body_budget';
import {HttpListener} from '../transport/http_listener';
import {readHttpBody} from '../transport/read_http_body';

const MAX_ANNOUNCEMENT_BYTES = 16 * 1024;
/** Only the backend server of this host and its operators connect. */
const MAX_CONNECTIONS = 64;

/** The address to listen on, and what handles the requests. */
interface AnnouncementListenerOptions {
  readonly host: string;
  readonly port: number;
  readonly onAnnounce: (announcement: BackendAnnouncement) => void;
  /** Creates the body of the response to `GET /status`. */
  readonly createStatus: () => object;
}

/**
 * Starts the endpoint for announcements and status.
 *
 * @throws TransportError when the address cannot be bound
 * @example
 * const listener = await listenForAnnouncements({host, port, onAnnounce, createStatus});
 */
export function listenForAnnouncements(
  options: AnnouncementListenerOptions,
): Promise<HttpListener> {
  const {host, port} = options;
  const budget = BodyBudget.create();
  return HttpListener.create({
    host,
    port,
    maxConnections: MAX_CONNECTIONS,
    onRequest: (request, response) => {
      handleRequest(request, response, {...options, budget}).catch(
        (error: Error) => sendRefusal(response, error),
      );
    },
  });
}

async function handleRequest(
  request: IncomingMessage,
  response: ServerResponse,
  options: AnnouncementListenerOptions & {readonly budget: BodyBudget},
): Promise<void> {
  const route = `${request.method} ${request.url}`;
  if (route === 'GET /status') {
    sendJson(response, 200, options.createStatus());
    return;
  }
  if (route !== 'POST /announce') {
    sendJson(response, 404, {error: 'try POST /announce or GET /status'});
    return;
  }
  const body = await readHttpBody(request, response, {
    maxBytes: MAX_ANNOUNCEMENT_BYTES,
    budget: options.budget,
  });
  const announcement = parseAnnouncement(body);
  if (typeof announcement === 'string') {
    sendJson(response, 400, {error: announcement});
    return;
  }
  options.onAnnounce(announcement);
  sendJson(response, 200, {});
}

function sendRefusal(response: ServerResponse, error: Error): void {
  const status = BODY_ERROR_STATUS[error.name];
  if (status === undefined) {
    response.destroy();
    return;
  }
  sendJson(response, status, {error: error.message});
}

function parseAnnouncement(body: Buffer): BackendAnnouncement | string {
  try {
    const parsed = BackendAnnouncement.safeParse(JSON.parse(body.toString()));
    if (parsed.success) {
      return parsed.data;
    }
    const issue = parsed.error.issues[0];
    return `${issue.path.join('.') || 'announcement'}: ${issue.message}`;
  } catch {
    return 'the announcement is not JSON';
  }
}

function sendJson(
  response: ServerResponse,
  status: number,
  value: object,
): void {
  response.writeHead(status, {'content-type': 'application/json'});
  response.end(JSON.stringify(value));
}
