/** The process that callers connect to: authenticates, admits, routes and retries requests, and streams the responses. */
import {randomBytes} from 'node:crypto';
import {IncomingMessage, ServerResponse} from 'node:http';
import {EventRing} from '../common/event_ring';
import {LeaseClock} from '../common/lease_clock';
import {recordPause} from '../common/record_pause';
import {runGracefulShutdown} from '../common/run_graceful_shutdown';
import {ShutdownSchedule} from '../common/shutdown_schedule';
import {systemClock} from '../common/system_clock';
import {AdmissionControl} from '../coordination/requests/admission_control';
import {Bundle} from '../protocol/bundle';
import {ControlClient} from '../protocol/control_client';
import {BODY_ERROR_STATUS} from '../transport/body_error_status';
import {BodyBudget} from '../transport/body_budget';
import {cancelResponse} from '../transport/cancel_response';
import {computeConnectionLimit} from '../transport/compute_connection_limit';
import {HttpListener} from '../transport/http_listener';
import {readHttpBody} from '../transport/read_http_body';
import {CallerRequest} from './caller_request';
import {CallerResponse} from './caller_response';
import {EntrySettings} from './entry_settings';
import {findWorkspace} from './find_workspace';
import {HostConnections} from './host_connections';
import {IdempotencyClaims} from './idempotency_claims';
import {parseCallerRequest} from './parse_caller_request';
import {Problem} from './problem';
import {RequestRunner} from './request_runner';
import {RoutingTable} from './routing_table';
import {sendProblem} from './send_problem';

const MAX_BODY_BYTES = 4 * 1024 * 1024;
const RETRY_AFTER_LIMIT_MS = 1_000;
const RETRY_AFTER_NOT_READY_MS = 1_000;
const RETRY_AFTER_NO_ROOM_MS = 1_000;

/** Titles by the name of the error with which a body was not read. */
const BODY_ERROR_TITLES: Readonly<Record<string, string | undefined>> = {
  TooLarge: 'Body too large',
  NoRoom: 'No room for the body',
  TooSlow: 'Body too slow',
};

const NOT_READY: Problem = {
  status: 503,
  title: 'Not ready',
  detail: 'control did not confirm the bundle',
  outcome: 'not-run',
  retryAfterMs: RETRY_AFTER_NOT_READY_MS,
};

const STOPPING: Problem = {
  ...NOT_READY,
  detail: 'this entry is stopping',
};

const ABANDONED: Problem = {
  status: 502,
  title: 'Given up',
  detail: 'this entry stopped before the answer was whole',
  outcome: 'unknown',
};

const UNKNOWN_KEY: Problem = {
  status: 401,
  title: 'Unknown key',
  detail: 'send "Authorization: Bearer" with a key of a workspace',
  outcome: 'not-run',
};

type Handler = (
  request: IncomingMessage,
  response: ServerResponse,
) => void | Promise<void>;

/** A running entry process. */
export class EntryServer {
  /** Recent events of this process, kept in memory. */
  readonly events = EventRing.create();
  private readonly clock = systemClock;
  /** Measures the bundle lease, which must also expire while the machine is suspended. */
  private readonly leaseClock = LeaseClock.create({
    monotonic: systemClock,
    wall: () => Date.now(),
    onPause: pause =>
      recordPause(this.events, 'control', this.settings.entryId, pause),
  });
  private readonly admission = AdmissionControl.create();
  private readonly bodyBudget = BodyBudget.create();
  private readonly connections: HostConnections;
  private readonly table: RoutingTable;
  private readonly runner: RequestRunner;
  private readonly claimClient: ControlClient;
  private readonly schedule: ShutdownSchedule;
  /** Responses that have not been sent completely. */
  private readonly openResponses = new Set<ServerResponse>();
  /** Responses to requests that were admitted. */
  private readonly acceptedResponses = new Set<ServerResponse>();
  private listener: HttpListener | undefined;

  private constructor(private readonly settings: EntrySettings) {
    const {entryId, control, security, stopWithinMs} = settings;
    this.schedule = ShutdownSchedule.create({timeoutMs: stopWithinMs});
    const {clock} = this;
    const identity = {
      program: 'entry' as const,
      id: entryId,
      incarnation: randomBytes(8).toString('hex'),
    };
    this.connections = HostConnections.create({identity, clock, security});
    this.claimClient = ControlClient.create({
      addresses: control,
      identity,
      security,
    });
    this.table = RoutingTable.create({
      entryId,
      client: ControlClient.create({addresses: control, identity, security}),
      clock: this.leaseClock,
      onGroups: groups =>
        this.connections.setAddresses(
          groups.map(group => group.members[0].address),
        ),
      onBundle: bundle => this.recordBundle(bundle),
    });
    this.runner = RequestRunner.create({
      clock,
      table: this.table,
      connections: this.connections,
      claims: IdempotencyClaims.create({
        client: this.claimClient,
        connections: this.connections,
      }),
      random: Math.random,
    });
  }

  /**
   * Listens for callers and keeps up to date with control.
   *
   * @throws TransportError when the address cannot be bound
   * @example
   * const entry = await EntryServer.create(settings);
   */
  static async create(settings: EntrySettings): Promise<EntryServer> {
    const entry = new EntryServer(settings);
    try {
      entry.listener = await HttpListener.create({
        host: settings.host,
        port: settings.port,
        onRequest: (request, response) =>
          void entry.handleRequest(request, response),
        maxConnections: computeConnectionLimit(),
        log: {events: entry.events, id: settings.entryId},
      });
    } catch (error) {
      await entry.close();
      throw error;
    }
    return entry;
  }

  /** The port for callers. */
  get port(): number {
    return this.listener?.port ?? 0;
  }

  /**
   * Shuts down gracefully: serves until callers have noticed, then stops once every
   * accepted request is answered or the time for the stop is over.
   */
  async drain(): Promise<void> {
    const {givenUp} = await runGracefulShutdown({
      schedule: this.schedule,
      clock: this.clock,
      countTaken: () => this.acceptedResponses.size,
      countOpen: () => this.openResponses.size,
      stopAccepting: () => this.listener?.stopAccepting(),
      giveUp: () =>
        this.openResponses.forEach(response =>
          abandonResponse(response, this.acceptedResponses.has(response)),
        ),
    });
    this.events.record({
      type: 'entry-stopped',
      subject: 'process',
      id: this.settings.entryId,
      reason:
        givenUp === 0
          ? 'all accepted requests were answered'
          : 'requests were still in flight at the stop deadline',
      details: {givenUp},
    });
    await this.close();
  }

  /** Stops without waiting for requests in flight. */
  async close(): Promise<void> {
    await this.listener?.close();
    this.table.close();
    this.claimClient.close();
    this.connections.close();
  }

  private readonly routes: Readonly<Record<string, Handler>> = {
    'GET /healthz': (_request, response) => {
      const hasLease = this.table.hasLease(this.leaseClock.now());
      const isReady = hasLease && !this.schedule.hasStarted;
      response.writeHead(isReady ? 200 : 503, {'content-type': 'text/plain'});
      response.end(isReady ? 'ready\n' : 'not ready\n');
    },
    'GET /v1/models': (_request, response) => {
      const models = this.table.bundle?.models ?? [];
      const data = models.map(({name}) => ({
        id: name,
        object: 'model',
        owned_by: 'whinreel',
      }));
      response.writeHead(200, {'content-type': 'application/json'});
      response.end(JSON.stringify({object: 'list', data}));
    },
  };

  private async handleRequest(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    this.openResponses.add(response);
    response.once('close', () => {
      this.openResponses.delete(response);
      this.acceptedResponses.delete(response);
    });
    try {
      const route = this.routes[`${request.method} ${request.url}`];
      await (route
        ? route(request, response)
        : this.handleWorkspaceRequest(request, response));
    } catch (error) {
      this.sendError(response, error as Error);
    }
  }

  private async handleWorkspaceRequest(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const requestId = randomBytes(12).toString('hex');
    response.setHeader('whinreel-request-id', requestId);
    const {bundle} = this.table;
    if (!bundle || !this.table.hasLease(this.leaseClock.now())) {
      sendProblem(response, NOT_READY);
      return;
    }
    const workspace = findWorkspace(request, bundle);
    if (!workspace) {
      // A caller without a key must not make the entry buffer a body.
      await this.readBody(request, response, 0).catch(() => undefined);
      sendProblem(response, UNKNOWN_KEY);
      return;
    }
    const body = await this.readBody(request, response, MAX_BODY_BYTES);
    const input = {
      request,
      body,
      bundle,
      workspace,
      requestId,
      now: this.clock.now(),
    };
    response.shouldKeepAlive &&= !this.schedule.hasStarted;
    // Checked after the body was read, which may have taken longer than the time left for the stop.
    if (!this.schedule.canAccept(input.now, 0)) {
      sendProblem(response, STOPPING);
      return;
    }
    const parsed = parseCallerRequest(input);
    if ('status' in parsed) {
      sendProblem(response, parsed);
      return;
    }
    await this.admitAndRun(parsed, workspace.maxInFlight, response);
  }

  private readBody(
    request: IncomingMessage,
    response: ServerResponse,
    maxBytes: number,
  ): Promise<Buffer> {
    const budget = this.bodyBudget;
    return readHttpBody(request, response, {maxBytes, budget});
  }

  private async admitAndRun(
    request: CallerRequest,
    maxInFlight: number,
    response: ServerResponse,
  ): Promise<void> {
    const limit = Math.ceil(maxInFlight / this.table.entryCount);
    if (!this.admission.admit(request.workspace, limit)) {
      sendProblem(response, {
        status: 429,
        title: 'Too many requests',
        detail: `workspace ${request.workspace} has ${limit} requests in flight at this entry`,
        outcome: 'not-run',
        retryAfterMs: RETRY_AFTER_LIMIT_MS,
      });
      return;
    }
    this.acceptedResponses.add(response);
    try {
      const result = await this.runner.run(
        request,
        CallerResponse.create(response),
      );
      if (result.outcome !== 'answered') {
        const {requestId: id} = request;
        const {outcome, reason, attempts} = result;
        const details = {workspace: request.workspace, attempts};
        this.events.record({
          type: `request-${outcome}`,
          subject: 'request',
          id,
          reason,
          details,
        });
      }
    } finally {
      this.admission.release(request.workspace);
    }
  }

  private sendError(response: ServerResponse, error: Error): void {
    if (response.headersSent || response.destroyed) {
      response.destroy();
      return;
    }
    const status = BODY_ERROR_STATUS[error.name];
    const title = BODY_ERROR_TITLES[error.name] ?? 'Internal error';
    sendProblem(response, {
      status: status ?? 500,
      title,
      detail: error.message,
      outcome: status === undefined ? 'unknown' : 'not-run',
      retryAfterMs:
        error.name === 'NoRoom' ? RETRY_AFTER_NO_ROOM_MS : undefined,
    });
  }

  private recordBundle(bundle: Bundle): void {
    const reason = `bundle version ${bundle.version} is in effect`;
    const {entryId: id} = this.settings;
    this.events.record({
      type: 'bundle-in-force',
      subject: 'bundle',
      id,
      reason,
    });
  }
}

/** Ends a response that is still open when the entry stops; an accepted request may have run. */
function abandonResponse(response: ServerResponse, wasAccepted: boolean): void {
  if (response.writableEnded) {
    return;
  }
  if (response.headersSent || response.destroyed) {
    cancelResponse(response);
    return;
  }
  response.shouldKeepAlive = false;
  sendProblem(response, wasAccepted ? ABANDONED : STOPPING);
}
