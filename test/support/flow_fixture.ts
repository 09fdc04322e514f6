/** Requests carried through by a gateway's flow, with backend servers of the test. */
import * as http from 'node:http';
import {AddressInfo} from 'node:net';
import {systemClock} from '../../src/common/system_clock';
import {EventRing} from '../../src/common/event_ring';
import {BackendSignals} from '../../src/gateway/backend_signals';
import {BreakWitness} from '../../src/gateway/break_witness';
import {CallerAnswer} from '../../src/gateway/caller_answer';
import {Containment} from '../../src/gateway/containment';
import {FlowResult} from '../../src/gateway/flow_result';
import {PlaceForecast} from '../../src/gateway/place_forecast';
import {RepeatBudget} from '../../src/gateway/repeat_budget';
import {RequestFlow} from '../../src/gateway/request_flow';
import {RequestIdentity} from '../../src/gateway/request_identity';
import {TargetBoard} from '../../src/gateway/target_board';
import {GatewayRules} from '../../src/protocol/gateway_rules';
import {GatewayTarget} from '../../src/protocol/gateway_target';
import {PermitVerdict} from '../../src/protocol/permit_verdict';
import {HttpClientPool} from '../../src/transport/http_client_pool';
import {BackendStandIn} from './backend_stand_in';
import {plainDialect} from './plain_dialect';

type Route = GatewayRules['routes'][number];

const CHECK_MS = 5;

/** A plain route on which a request may run again. */
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

/** What a caller got. */
interface Received {
  readonly status: number;
  readonly headers: http.IncomingHttpHeaders;
  readonly body: string;
  /** False when the connection broke before the end. */
  readonly isWhole: boolean;
}

/** A small gateway of one route. */
export class FlowFixture {
  readonly results: FlowResult[] = [];
  /** What the board was told at first. */
  targets: Array<[string, GatewayTarget]> = [];
  readonly forecast = PlaceForecast.create(systemClock);
  readonly events = EventRing.create();
  /** What the leader answers a question for a permit; at first nobody leads. */
  answerPermit: () => Promise<PermitVerdict> = () =>
    Promise.reject(new Error('nobody leads'));
  readonly signals = BackendSignals.create({
    clock: systemClock,
    leaseClock: systemClock,
    events: this.events,
    random: () => 0,
    reportLeaving: () => Promise.resolve(),
    askPermit: () => this.answerPermit(),
    onNews: () => undefined,
  });
  readonly board = TargetBoard.create(
    'z',
    systemClock,
    () => 0,
    () => undefined,
    this.signals.openness,
  );
  private readonly containment = Containment.create({
    witness: BreakWitness.create({clock: systemClock, events: this.events}),
    calls: {
      report: () => Promise.resolve(),
      askTrial: () => Promise.resolve('free'),
    },
    onEnded: () => undefined,
  });
  private readonly origins = HttpClientPool.create();
  private readonly flows = new Set<RequestFlow>();
  private readonly timer: NodeJS.Timeout;

  private constructor(
    private readonly server: http.Server,
    private readonly route: Route,
    private readonly model: string | undefined,
  ) {
    this.timer = setInterval(() => {
      this.flows.forEach(flow => flow.check(systemClock.now()));
    }, CHECK_MS);
  }

  static async create(
    backends: readonly BackendStandIn[],
    changes: Partial<Route> = {},
    target: Partial<GatewayTarget> = {},
  ): Promise<FlowFixture> {
    const server = http.createServer();
    await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
    const route = {...ROUTE, ...changes};
    const fixture = new FlowFixture(server, route, target.model);
    fixture.targets = backends.map(({address}, at) => {
      const incarnation = `i${at}`;
      const place = {pool: 'p', address, zone: 'z', slots: 4};
      return [incarnation, {incarnation, ...place, ...target}];
    });
    fixture.board.setTargets(new Map(fixture.targets));
    server.on('request', (message, response) =>
      fixture.start(message, response),
    );
    return fixture;
  }

  /** Sends one request and reads its answer to the end. */
  ask(headers: Record<string, string> = {}, body = ''): Promise<Received> {
    return new Promise((resolve, reject) => {
      const request = this.open(headers, body);
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

  /** Sends one request and leaves its answer to the test. */
  open(headers: Record<string, string> = {}, body = ''): http.ClientRequest {
    const {port} = this.server.address() as AddressInfo;
    const request = http.request({
      port,
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

  /** Requests that were taken so far. */
  get flowCount(): number {
    return this.flows.size;
  }

  async close(): Promise<void> {
    clearInterval(this.timer);
    this.server.closeAllConnections();
    this.server.close();
    await this.origins.close();
  }

  private start(
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
      const flow = RequestFlow.create({
        request: {...request, model: this.model},
        identity: RequestIdentity.create({request, body}),
        containment: this.containment,
        signals: this.signals,
        body,
        route: this.route,
        pool: {
          name: 'p',
          maxConnections: 8,
          engine: this.model === undefined ? undefined : ENGINE,
        },
        maxConnections: 4,
        arrivedAt,
        answer: CallerAnswer.create(response, 'request-id', () => false),
        origins: this.origins,
        board: this.board,
        budget: RepeatBudget.create(
          {ratio: 1, windowMs: 10_000, slack: 100},
          systemClock,
          () => 1,
        ),
        forecast: this.forecast,
        dialect: plainDialect,
        clock: systemClock,
        onDone: result => {
          this.results.push(result);
        },
      });
      this.flows.add(flow);
    });
  }
}

/** Fast engines: a stream that pauses for more than some 90 ms has stopped. */
const ENGINE: GatewayRules['pools'][number]['engine'] = {
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
