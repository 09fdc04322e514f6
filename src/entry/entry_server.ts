/** The process that callers talk to: admits, routes, streams answers, retries. */
import {randomBytes} from 'node:crypto';
import {IncomingMessage, ServerResponse} from 'node:http';
import {EventRing} from '../common/event_ring';
import {LeaseClock} from '../common/lease_clock';
import {recordPause} from '../common/record_pause';
import {runStop} from '../common/run_stop';
import {StopSchedule} from '../common/stop_schedule';
import {systemClock} from '../common/system_clock';
import {Admission} from '../coordination/requests/admission';
import {Bundle} from '../protocol/bundle';
import {ControlClient} from '../protocol/control_client';
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
const RETRY_WHEN_FULL_MS = 1_000;
const RETRY_WHEN_STARTING_MS = 1_000;

const NOT_CONFIRMED: Problem = {
  status: 503,
  title: 'Not ready',
  detail: 'control did not confirm the bundle',
  outcome: 'not-run',
  retryAfterMs: RETRY_WHEN_STARTING_MS,
};

const STOPPING: Problem = {
  ...NOT_CONFIRMED,
  detail: 'this entry is stopping',
};

const GIVEN_UP: Problem = {
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
  /** What happened here, newest in memory. */
  readonly events = EventRing.create();
  private readonly clock = systemClock;
  /** For the right to act on the bundle, which a suspension ends. */
  private readonly leaseClock = LeaseClock.create({
    steady: systemClock,
    wall: () => Date.now(),
    onPause: pause =>
      recordPause(this.events, 'control', this.settings.entryId, pause),
  });
  private readonly admission = Admission.create();
  private readonly connections: HostConnections;
  private readonly table: RoutingTable;
  private readonly runner: RequestRunner;
  private readonly claimClient: ControlClient;
  private readonly schedule: StopSchedule;
  /** Answers that have not left, to the last byte. */
  private readonly openResponses = new Set<ServerResponse>();
  /** Those of requests that were taken. */
  private readonly acceptedResponses = new Set<ServerResponse>();
  private listener: HttpListener | undefined;

  private constructor(private readonly settings: EntrySettings) {
    const {entryId, control, security, stopWithinMs} = settings;
    this.schedule = StopSchedule.create({withinMs: stopWithinMs});
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
   * Listens for callers and follows control.
   *
   * @throws TransportError when the address cannot be taken
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

  /** Answers what comes until callers have noticed, then stops when what was taken is answered. */
  async drain(): Promise<void> {
    const {givenUp} = await runStop({
      schedule: this.schedule,
      clock: this.clock,
      countTaken: () => this.acceptedResponses.size,
      countOpen: () => this.openResponses.size,
      stopAccepting: () => this.listener?.stopAccepting(),
      giveUp: () =>
        this.openResponses.forEach(answer =>
          giveUp(answer, this.acceptedResponses.has(answer)),
        ),
    });
    this.events.record({
      type: 'entry-stopped',
      subject: 'process',
      id: this.settings.entryId,
      reason:
        givenUp === 0
          ? 'nothing is under way'
          : 'the time for the stop is over',
      details: {givenUp},
    });
    await this.close();
  }

  /** Stops at once. */
  async close(): Promise<void> {
    await this.listener?.close();
    this.table.close();
    this.claimClient.close();
    this.connections.close();
  }

  private readonly routes: Readonly<Record<string, Handler>> = {
    'GET /healthz': (_request, response) => {
      const hasLease = this.table.hasLease(this.leaseClock.now());
      const isReady = hasLease && !this.schedule.hasBegun;
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
      sendProblem(response, NOT_CONFIRMED);
      return;
    }
    const workspace = findWorkspace(request, bundle);
    if (!workspace) {
      // Nobody without a key may make an entry hold a body.
      await readHttpBody(request, 0).catch(() => undefined);
      sendProblem(response, UNKNOWN_KEY);
      return;
    }
    const body = await readHttpBody(request, MAX_BODY_BYTES);
    const input = {
      request,
      body,
      bundle,
      workspace,
      requestId,
      now: this.clock.now(),
    };
    response.shouldKeepAlive &&= !this.schedule.hasBegun;
    // Asked once the body is here, which may have taken longer than the stop has left.
    if (!this.schedule.canTake(input.now, 0)) {
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
        retryAfterMs: RETRY_WHEN_FULL_MS,
      });
      return;
    }
    this.acceptedResponses.add(response);
    try {
      const end = await this.runner.run(
        request,
        CallerResponse.create(response),
      );
      if (end.outcome !== 'answered') {
        const {requestId: id} = request;
        const {outcome, reason, attempts} = end;
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
    const isTooLarge = error.name === 'TooLarge';
    sendProblem(response, {
      status: isTooLarge ? 413 : 500,
      title: isTooLarge ? 'Body too large' : 'Internal error',
      detail: error.message,
      outcome: isTooLarge ? 'not-run' : 'unknown',
    });
  }

  private recordBundle(bundle: Bundle): void {
    const reason = `version ${bundle.version} is in force here`;
    const {entryId: id} = this.settings;
    this.events.record({
      type: 'bundle-in-force',
      subject: 'bundle',
      id,
      reason,
    });
  }
}

/** The final answer of a request that outlasts its entry; one that was taken may have run. */
function giveUp(response: ServerResponse, wasTaken: boolean): void {
  if (response.writableEnded) {
    return;
  }
  if (response.headersSent || response.destroyed) {
    response.destroy();
    return;
  }
  response.shouldKeepAlive = false;
  sendProblem(response, wasTaken ? GIVEN_UP : STOPPING);
}
