/** Proxies requests through a gateway's request path to backend servers of a test. */
import * as http from 'node:http';
import {AddressInfo} from 'node:net';
import {LeaseClock} from '../../src/common/lease_clock';
import {systemClock} from '../../src/common/system_clock';
import {EventRing} from '../../src/common/event_ring';
import {ServerAddress} from '../../src/common/server_address';
import {BackendSignals} from '../../src/gateway/limits/backend_signals';
import {CrashDetector} from '../../src/gateway/crashes/crash_detector';
import {GatewayRequest} from '../../src/gateway/gateway_request';
import {createFaultBoundary} from '../../src/gateway/create_fault_boundary';
import {FaultLog} from '../../src/gateway/fault_log';
import {ResponseLog} from '../../src/gateway/responses/response_log';
import {ResponseMemory} from '../../src/gateway/responses/response_memory';
import {ResponseWriter} from '../../src/gateway/responses/response_writer';
import {CrashContainment} from '../../src/gateway/crashes/crash_containment';
import {RequestResult} from '../../src/gateway/request_result';
import {SlotQueue} from '../../src/gateway/scheduling/slot_queue';
import {SlotForecast} from '../../src/gateway/scheduling/slot_forecast';
import {RetryBudget} from '../../src/gateway/retries/retry_budget';
import {RetryLog} from '../../src/gateway/retries/retry_log';
import {ProxiedRequest} from '../../src/gateway/proxied_request';
import {RequestIdentity} from '../../src/gateway/crashes/request_identity';
import {LoadBalancer} from '../../src/gateway/routing/load_balancer';
import {EngineProfile} from '../../src/protocol/engine_profile';
import {GatewayRules} from '../../src/protocol/gateway_rules';
import {GatewayTarget} from '../../src/protocol/gateway_target';
import {PermitVerdict} from '../../src/protocol/permit_verdict';
import {HttpClientPool} from '../../src/transport/http_client_pool';
import {FakeBackend} from './fake_backend';
import {plainDialect} from './plain_dialect';

type Route = GatewayRules['routes'][number];

const CHECK_MS = 5;

/** A default route on which requests may be retried. */
const ROUTE: Route = {
  name: 'r',
  host: 'h',
  pathPrefix: '/',
  kind: 'safe',
  timeoutMs: 3_000,
  objectiveMs: 500,
  priority: 0,
  targets: [{pool: 'p', weight: 1}],
  maxAttempts: 2,
  isAnonymous: true,
  isResumable: false,
};

/** A response as the caller received it. */
interface Received {
  readonly status: number;
  readonly headers: http.IncomingHttpHeaders;
  readonly body: string;
  /** False when the connection failed before the end of the response. */
  readonly isWhole: boolean;
}

/** A minimal gateway with one route. */
export class ProxyFixture {
  readonly results: RequestResult[] = [];
  /** The initial targets of the load balancer. */
  targets: Array<[string, GatewayTarget]> = [];
  readonly forecast = SlotForecast.create(systemClock);
  readonly events = EventRing.create();
  /** False while control has not confirmed the rules. */
  isConfirmed = true;
  /** Wraps what a request depends on. */
  wrap = <T extends object>(dependency: T): T => dependency;
  /** Ample by default, so that the budget denies no retry. */
  retryLimits = {ratio: 100, windowMs: 10_000};
  private readonly retryLog = RetryLog.create({
    events: this.events,
    clock: systemClock,
    describeGateways: () => ({gateways: 1, countedMsAgo: 0}),
  });
  private readonly responseLog = ResponseLog.create(this.events, systemClock);
  private readonly faultLog = FaultLog.create(this.events, systemClock);
  /** Ample by default. */
  responseMemory = ResponseMemory.create(256 * 1024 * 1024);
  /** Answers a request for a loan in place of the leader. */
  answerLoan = () => Promise.resolve({granted: 0, pauseMs: 1_000});
  /** Answers a permit request in place of the leader; rejects by default, as without a leader. */
  answerPermit: () => Promise<PermitVerdict> = () =>
    Promise.reject(new Error('nobody leads'));
  readonly signals = BackendSignals.create({
    clock: systemClock,
    leaseClock: systemClock,
    events: this.events,
    random: () => 0,
    reportLeaving: () => Promise.resolve(),
    askPermit: () => this.answerPermit(),
    reportNow: () => undefined,
  });
  readonly balancer = LoadBalancer.create(
    'z',
    systemClock,
    () => 0,
    () => undefined,
    this.signals.availability,
  );
  readonly containment = CrashContainment.create({
    detector: CrashDetector.create({clock: systemClock, events: this.events}),
    calls: {
      report: () => Promise.resolve(),
      askTrial: () => Promise.resolve('free'),
    },
    onEnded: () => undefined,
  });
  private readonly leaseClock = LeaseClock.create({
    monotonic: systemClock,
    wall: () => Date.now(),
  });
  private readonly origins = HttpClientPool.create();
  private readonly requests = new Set<ProxiedRequest>();
  private readonly timer: NodeJS.Timeout;

  private constructor(
    private readonly server: http.Server,
    private readonly route: Route,
    private readonly model: string | undefined,
  ) {
    this.timer = setInterval(() => {
      this.requests.forEach(request => request.check(systemClock.now()));
    }, CHECK_MS);
  }

  static async create(
    backends: readonly FakeBackend[],
    changes: Partial<Route> = {},
    target: Partial<GatewayTarget> = {},
  ): Promise<ProxyFixture> {
    const server = http.createServer();
    await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
    const route = {...ROUTE, ...changes};
    const fixture = new ProxyFixture(server, route, target.model);
    fixture.targets = backends.map((backend, at) => {
      const incarnation = `i${at}`;
      const address = ServerAddress.parse(backend.address);
      const place = {pool: 'p', address, zone: 'z', slots: 4};
      return [incarnation, {incarnation, ...place, ...target}];
    });
    fixture.balancer.setTargets(new Map(fixture.targets));
    server.on('request', (message, response) =>
      fixture.handleRequest(message, response),
    );
    return fixture;
  }

  /** Sends one request and reads its response to the end. */
  send(headers: Record<string, string> = {}, body = ''): Promise<Received> {
    return new Promise((resolve, reject) => {
      const request = this.startRequest(headers, body);
      request.on('error', reject);
      request.on('response', answer => {
        let text = '';
        answer.on('data', chunk => (text += chunk));
        answer.on('error', () => undefined);
        answer.on('close', () => {
          resolve({
            status: answer.statusCode ?? 0,
            headers: answer.headers,
            body: text,
            isWhole: answer.complete,
          });
        });
      });
    });
  }

  /** The port for callers. */
  get port(): number {
    return (this.server.address() as AddressInfo).port;
  }

  /** Sends one request and leaves its response to the test. */
  startRequest(
    headers: Record<string, string> = {},
    body = '',
  ): http.ClientRequest {
    const request = http.request({
      port: this.port,
      host: '127.0.0.1',
      method: body ? 'POST' : 'GET',
      path: '/x?y=1',
      headers: {'request-id': 'q', ...headers},
      agent: false,
    });
    request.on('error', () => undefined);
    request.end(body);
    return request;
  }

  /** The queue for slots of the engines of model m. */
  get queue(): SlotQueue {
    return this.forecast.queues.get({pool: 'p', model: 'm', engine: ENGINE});
  }

  /** Number of requests received so far. */
  get requestCount(): number {
    return this.requests.size;
  }

  async close(): Promise<void> {
    clearInterval(this.timer);
    this.server.closeAllConnections();
    this.server.close();
    await this.origins.close();
  }

  private handleRequest(
    message: http.IncomingMessage,
    response: http.ServerResponse,
  ): void {
    const chunks: Buffer[] = [];
    const arrivedAt = systemClock.now();
    message.on('data', chunk => chunks.push(chunk));
    message.on('end', () => {
      const request = plainDialect.readRequest(message);
      if (typeof request === 'string') {
        throw new Error(request);
      }
      const body = Buffer.concat(chunks);
      const writer = ResponseWriter.create(response, 'request-id', () => false);
      const boundary = createFaultBoundary(writer, this.faultLog);
      const proxiedRequest = boundary.run(() =>
        this.createRequest(request, body, writer, arrivedAt),
      );
      if (proxiedRequest) {
        this.requests.add(proxiedRequest);
      }
    });
  }

  private createRequest(
    request: GatewayRequest,
    body: Buffer,
    writer: ResponseWriter,
    arrivedAt: number,
  ): ProxiedRequest {
    return ProxiedRequest.create({
      request: {...request, model: this.model},
      identity: RequestIdentity.create({request, body}),
      containment: this.wrap(this.containment),
      signals: this.wrap(this.signals),
      body,
      route: this.route,
      urgency: this.route.priority,
      pool: {
        name: 'p',
        maxConnections: 8,
        engine: this.model === undefined ? undefined : ENGINE,
      },
      maxConnections: 4,
      arrivedAt,
      response: this.wrap(writer),
      clientPool: this.wrap(this.origins),
      balancer: this.wrap(this.balancer),
      budget: this.wrap(
        RetryBudget.create({
          limits: this.retryLimits,
          clock: systemClock,
          leaseClock: this.leaseClock,
          askLoan: () => this.answerLoan(),
        }),
      ),
      retryLog: this.wrap(this.retryLog),
      responseLog: this.wrap(this.responseLog),
      faultLog: this.faultLog,
      responseMemory: this.wrap(this.responseMemory),
      forecast: this.wrap(this.forecast),
      dialect: this.wrap(plainDialect),
      clock: systemClock,
      isConfirmed: () => this.isConfirmed,
      onDone: result => {
        this.results.push(result);
      },
    });
  }
}

/** Fast engines: a stream that pauses for more than about 90 ms counts as stalled. */
const ENGINE: EngineProfile = {
  models: [{name: 'm', size: 1, pace: 1, share: 1, loadMs: 1_000, warmMs: 100}],
  slots: 4,
  contextTokens: 10_000,
  stepMs: 20,
  stepMsPerRequest: 1,
  promptTokensPerSecond: 100_000,
  promptChunkTokens: 2_000,
  stepsPerEvent: 2,
  loadsPerSecond: 1,
  concurrentLoads: 1,
  keptModels: 1,
  openMs: 0,
};
