/** The reverse proxy between callers and backend servers: admits, routes and proxies requests. */
import {randomBytes} from 'node:crypto';
import {IncomingMessage, ServerResponse} from 'node:http';
import {Socket} from 'node:net';
import {EventRing} from '../common/event_ring';
import {selectDistinctAddresses} from '../common/select_distinct_addresses';
import {ProcessPauses} from '../common/process_pauses';
import {systemClock} from '../common/system_clock';
import {ThrottledEventLog} from '../common/throttled_event_log';
import {ControlClient} from '../protocol/control_client';
import {createControlClientReports} from '../reporting/create_control_client_reports';
import {computeConnectionLimit} from '../transport/compute_connection_limit';
import {HttpListener} from '../transport/http_listener';
import {HttpClientPool} from '../transport/http_client_pool';
import {findHeadFault} from '../transport/find_head_fault';
import {BackendSignals} from './limits/backend_signals';
import {CrashDetector} from './crashes/crash_detector';
import {CrashContainment} from './crashes/crash_containment';
import {CheckTimer} from './check_timer';
import {computeTimeoutMs} from './compute_timeout_ms';
import {ControlPoller} from './control/control_poller';
import {createFaultBoundary} from './create_fault_boundary';
import {createControlClock} from './control/create_control_clock';
import {createBackendSignals} from './limits/create_backend_signals';
import {createLoadBalancer} from './create_load_balancer';
import {createSuspectCalls} from './crashes/create_suspect_calls';
import {decideAdmission} from './scheduling/decide_admission';
import {DemandMeter} from './scheduling/demand_meter';
import {FaultLog} from './fault_log';
import {GatewayRequest} from './gateway_request';
import {GatewaySettings} from './gateway_settings';
import {GatewayShutdown} from './gateway_shutdown';
import {SlotForecast} from './scheduling/slot_forecast';
import {SaturatedModels} from './scheduling/saturated_models';
import {ProxiedRequest} from './proxied_request';
import {RetryBudgets} from './retries/retry_budgets';
import {RequestIdentity} from './crashes/request_identity';
import {RequestBodies} from './request_bodies';
import {RequestLog} from './request_log';
import {RequestResult} from './request_result';
import {ResponseLog} from './responses/response_log';
import {computeResponseMemoryBytes} from './responses/compute_response_memory_bytes';
import {ResponseMemory} from './responses/response_memory';
import {ResponseWriter} from './responses/response_writer';
import {LoadBalancer} from './routing/load_balancer';

/** Reason of requests that are abandoned when the gateway shuts down. */
const STOPPED = 'this gateway stopped';
/** After this time without an answer, another control process is tried. */
const CONTROL_TIMEOUT_MS = 1_000;

/** A running gateway: it polls the control plane and proxies the requests of callers. */
export class GatewayServer {
  /** Recorded events; the newest are kept in memory. */
  readonly events = EventRing.create();
  private readonly clock = systemClock;
  private readonly pauses = ProcessPauses.create();
  private readonly clientPool = HttpClientPool.create(() =>
    this.pauses.hasPausedLately(),
  );
  private readonly responseLog = ResponseLog.create(this.events, systemClock);
  private readonly faultLog = FaultLog.create(this.events, systemClock);
  private readonly responseMemory: ResponseMemory;
  private readonly bodies: RequestBodies;
  private readonly balancer: LoadBalancer;
  private readonly poller: ControlPoller;
  private readonly requestLog: RequestLog;
  private readonly retryBudgets: RetryBudgets;
  private readonly requests = new Set<ProxiedRequest>();
  private readonly forecast = SlotForecast.create(systemClock, {
    findAdmission: (pool, model) =>
      this.poller.admissions.findAdmission(pool, model),
  });
  private readonly demand = DemandMeter.create(systemClock);
  private readonly containment: CrashContainment;
  private readonly checkTimer: CheckTimer;
  private seeds: GatewaySettings['control'];
  /** The client asks an address once, however often it is listed. */
  private controlAddresses: GatewaySettings['control'];
  private listener: HttpListener | undefined;
  private openRequests = 0;
  /** Responses to admitted requests, until their last byte is sent. */
  private readonly admittedResponses = new Set<ResponseWriter>();
  private readonly saturatedModels = SaturatedModels.create(systemClock);
  private readonly signals: BackendSignals;
  /** Connections on which a request has arrived before. */
  private readonly seenConnections = new WeakSet<Socket>();
  private readonly shutdown: GatewayShutdown;
  private hasServed = false;

  private constructor(private readonly settings: GatewaySettings) {
    const {gatewayId, zone, control, stopWithinMs} = settings;
    const {confirmationMs, changesWithinMs, bufferBytes} = settings;
    const {clock, events} = this;
    this.responseMemory = ResponseMemory.create(
      computeResponseMemoryBytes(undefined, undefined, bufferBytes),
    );
    this.shutdown = GatewayShutdown.create({
      gatewayId,
      clock,
      events,
      timeoutMs: stopWithinMs,
      maxRetryAfterFraction: settings.dialect.maxRetryAfterFraction,
    });
    this.seeds = control;
    this.controlAddresses = control;
    const incarnation = randomBytes(8).toString('hex');
    const eventLog = ThrottledEventLog.create(events, clock);
    const client = ControlClient.create({
      addresses: () => this.controlAddresses,
      hedgeDelayMs: CONTROL_TIMEOUT_MS,
      identity: {program: 'gateway', id: gatewayId, incarnation},
      ...createControlClientReports(eventLog, gatewayId),
    });
    this.retryBudgets = RetryBudgets.create({
      gatewayId,
      limits: settings.retries,
      client,
      events,
      describeGateways: () => this.poller.describeGateways(),
    });
    const reportNow = () => this.poller.reportNow();
    const source = {gatewayId, client, events, reportNow};
    this.signals = createBackendSignals(source);
    this.balancer = createLoadBalancer({
      zone,
      events,
      reportNow,
      availability: this.signals.availability,
      zones: {
        isConfirmed: () => this.poller.isConfirmed(),
        isEvacuated: other => this.poller.evacuations.has(other),
      },
    });
    this.containment = CrashContainment.create({
      detector: CrashDetector.create({clock, events}),
      calls: createSuspectCalls(gatewayId, client),
      onEnded: ended => this.balancer.recordProcessEnded(ended),
    });
    this.poller = ControlPoller.create({
      gatewayId,
      client,
      // An urgent poll confirms the rules within one round trip after a pause.
      clock: createControlClock(events, gatewayId, reportNow),
      events,
      confirmationMs,
      changesWithinMs,
      collectReport: () => ({
        ...this.balancer.describeHealth(),
        saturatedModels: this.saturatedModels.list(),
        hasServed: this.hasServed,
        demand: this.demand.describe(),
        queues: this.forecast.queues.describe(),
      }),
      onRunning: (running, others) =>
        this.balancer.setRunningElsewhere(running, others),
      readSuspectsVersion: () => this.containment.version,
      onSuspects: update => this.containment.apply(update),
      limits: this.signals.limits,
      onTargets: targets => {
        this.balancer.setTargets(targets);
        this.signals.expire(name => this.balancer.has(name));
        this.clientPool.retain(this.balancer.listAddresses());
      },
      onControl: addresses => {
        this.controlAddresses = [...addresses, ...this.seeds];
      },
    });
    this.requestLog = RequestLog.create(events, this.poller);
    this.bodies = RequestBodies.create(bufferBytes, this.requestLog);
    this.checkTimer = CheckTimer.create({
      clock,
      check: now => this.requests.forEach(request => request.check(now)),
      onTick: () => this.pauses.record(),
    });
  }

  /**
   * Starts to poll the control plane and to listen for callers.
   *
   * @throws TransportError when the address cannot be bound
   * @example
   * const gateway = await GatewayServer.create(settings);
   */
  static async create(settings: GatewaySettings): Promise<GatewayServer> {
    const gateway = new GatewayServer(settings);
    gateway.listener = await HttpListener.create({
      host: settings.host,
      port: settings.port,
      onRequest: (request, response) => gateway.handle(request, response),
      maxConnections: computeConnectionLimit(settings.maxDescriptors),
      log: {events: gateway.events, id: settings.gatewayId},
      readLimits: () => gateway.poller.index?.rules.limits,
    });
    // The monotonic clock of a process counts from its start.
    gateway.shutdown.recordStarted(gateway.clock.now());
    return gateway;
  }

  /** The port for callers. */
  get port(): number {
    return this.listener?.port ?? 0;
  }

  /** True while load balancers should send new connections to this gateway. */
  get isReady(): boolean {
    const hasTargets = this.balancer.listAddresses().size > 0;
    return !this.shutdown.hasStarted && this.poller.isConfirmed() && hasTargets;
  }

  /** Updates the seed addresses of the control plane after the settings changed. */
  setControl(addresses: GatewaySettings['control']): void {
    this.seeds = addresses;
    const known = [...this.controlAddresses, ...addresses];
    this.controlAddresses = selectDistinctAddresses(known);
  }

  /** Shuts down gracefully: serves requests until callers have noticed, and closes once all admitted ones are answered. */
  async drain(): Promise<void> {
    await this.shutdown.run({
      countTaken: () => this.admittedResponses.size,
      countOpen: () => this.openRequests,
      stopAccepting: () => this.listener?.stopAccepting(),
      giveUp: () => this.requests.forEach(each => each.abandon(STOPPED)),
    });
    await this.close();
  }

  /** Closes at once and abandons all active requests. */
  async close(): Promise<void> {
    this.checkTimer.close();
    this.requests.forEach(request => request.abandon(STOPPED));
    this.admittedResponses.forEach(response => response.cancel());
    this.containment.close();
    this.signals.close();
    this.poller.close();
    await this.listener?.close();
    await this.clientPool.close();
  }

  private handle(message: IncomingMessage, response: ServerResponse): void {
    const writer = ResponseWriter.create(
      response,
      this.settings.dialect.requestIdHeader,
      () => this.shutdown.hasStarted,
    );
    this.openRequests += 1;
    response.once('close', () => (this.openRequests -= 1));
    const received = this.receive({message, response}, writer);
    createFaultBoundary(writer, this.faultLog).watch(received);
  }

  private async receive(
    exchange: {message: IncomingMessage; response: ServerResponse},
    writer: ResponseWriter,
  ): Promise<void> {
    const arrivedAt = this.clock.now();
    const {message, response} = exchange;
    const request =
      findHeadFault(message) ?? this.settings.dialect.readRequest(message);
    if (typeof request === 'string') {
      await this.bodies.rejectInvalid(message, response, writer, request);
      return;
    }
    await this.admit(exchange, request, writer, arrivedAt);
  }

  private async admit(
    exchange: {message: IncomingMessage; response: ServerResponse},
    request: GatewayRequest,
    writer: ResponseWriter,
    arrivedAt: number,
  ): Promise<void> {
    const {socket} = exchange.message;
    const isOnNewConnection = !this.seenConnections.has(socket);
    this.seenConnections.add(socket);
    const maxBytes = this.poller.index?.rules.limits?.maxBodyBytes;
    const head = {...exchange, writer, request, maxBytes};
    const body = await this.bodies.receive(head);
    if (!body) {
      return;
    }
    // Decided after the body was received, since the rules may have changed or expired meanwhile.
    const {index} = this.poller;
    const admitted = decideAdmission({
      request,
      index,
      isConfirmed: this.poller.isConfirmed(),
      isCurrent: this.poller.isCurrent(),
      random: Math.random(),
    });
    if ('status' in admitted) {
      writer.sendError(admitted, request.id);
      this.requestLog.recordRefusal(request, admitted);
      return;
    }
    if (writer.isDisconnected) {
      // The caller disconnected while the body was received; its close event has already fired.
      return;
    }
    const {route, pool, workspace, urgency} = admitted;
    const refusal = this.shutdown.admit({
      route,
      leftMs: computeTimeoutMs(request, route) - (this.clock.now() - arrivedAt),
      isOnNewConnection,
    });
    if (refusal) {
      writer.sendError(refusal, request.id);
      this.requestLog.recordRefusal(request, refusal);
      return;
    }
    this.hasServed = true;
    this.admittedResponses.add(writer);
    writer.watchClose(() => this.admittedResponses.delete(writer));
    this.demand.recordArrival(request, pool.engine);
    const connections = pool.maxConnections / (this.poller.gatewayCount + 1);
    const proxied: {current?: ProxiedRequest} = {};
    proxied.current = ProxiedRequest.create({
      request,
      identity: RequestIdentity.create({request, workspace, body}),
      body,
      route,
      pool,
      workspace,
      urgency,
      sendsUrgency: index?.hasPriorities,
      maxConnections: Math.max(1, Math.floor(connections)),
      arrivedAt,
      response: writer,
      clientPool: this.clientPool,
      balancer: this.balancer,
      budget: this.retryBudgets.find(pool.name),
      retryLog: this.retryBudgets.log,
      responseLog: this.responseLog,
      faultLog: this.faultLog,
      responseMemory: this.responseMemory,
      forecast: this.forecast,
      containment: this.containment,
      signals: this.signals,
      dialect: this.settings.dialect,
      clock: this.clock,
      isConfirmed: () => this.poller.isConfirmed(),
      onDone: result => {
        if (proxied.current) {
          this.requests.delete(proxied.current);
        }
        this.recordResult(request, route.name, result);
        this.demand.recordResult(request, pool.engine, result);
      },
    });
    if (!proxied.current.isFinished) {
      this.requests.add(proxied.current);
    }
  }

  private recordResult(
    request: GatewayRequest,
    route: string,
    result: RequestResult,
  ): void {
    const {outcome, tookMs} = result;
    if (outcome === 'answered') {
      this.shutdown.recordAnswered(route, tookMs);
    }
    const {model} = request;
    if (outcome === 'refused' && model !== undefined) {
      if (this.saturatedModels.record(model)) {
        this.poller.reportNow();
      }
    }
    this.requestLog.recordResult(request, route, result);
  }
}
