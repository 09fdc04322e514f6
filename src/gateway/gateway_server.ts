/** The process between callers and backend servers: routes, dispatches, resumes. */
import {randomBytes} from 'node:crypto';
import {IncomingMessage, ServerResponse} from 'node:http';
import {Socket} from 'node:net';
import {EventRing} from '../common/event_ring';
import {LeaseClock} from '../common/lease_clock';
import {recordPause} from '../common/record_pause';
import {systemClock} from '../common/system_clock';
import {ThrottledLines} from '../common/throttled_lines';
import {ControlClient} from '../protocol/control_client';
import {recordLeaderSearch} from '../reporting/record_leader_search';
import {HttpListener} from '../transport/http_listener';
import {HttpOrigins} from '../transport/http_origins';
import {readHttpBody} from '../transport/read_http_body';
import {BackendSignals} from './backend_signals';
import {BreakWitness} from './break_witness';
import {CallerAnswer} from './caller_answer';
import {Containment} from './containment';
import {createBackendSignals} from './create_backend_signals';
import {createSuspectCalls} from './create_suspect_calls';
import {decideAdmission} from './decide_admission';
import {DemandMeter} from './demand_meter';
import {FlowResult} from './flow_result';
import {GatewayLog} from './gateway_log';
import {GatewayRequest} from './gateway_request';
import {GatewaySettings} from './gateway_settings';
import {GatewayStop} from './gateway_stop';
import {PlaceForecast} from './place_forecast';
import {PressedModels} from './pressed_models';
import {RepeatBudget} from './repeat_budget';
import {RequestFlow} from './request_flow';
import {RequestIdentity} from './request_identity';
import {RulesFeed} from './rules_feed';
import {TargetBoard} from './target_board';

/** Between two looks at requests that wait or stall; well under the pauses that matter. */
const CHECK_MS = 20;
/** Some looks that did not happen; well under the shortest pause that counts as a stall. */
const OWN_PAUSE_MS = 4 * CHECK_MS;
/** Why a request is given up when the time for a stop is over. */
const STOPPED = 'this gateway stopped';
/** What a caller may send before any rules are known. */
const UNKNOWN_LIMIT_BYTES = 1024 * 1024;
/** A control process that is silent for this long is left for another. */
const CONTROL_TRY_MS = 1_000;

/** A running gateway. */
export class GatewayServer {
  /** What happened here, newest in memory. */
  readonly events = EventRing.create();
  private readonly clock = systemClock;
  private readonly origins = HttpOrigins.create();
  private readonly board: TargetBoard;
  private readonly feed: RulesFeed;
  private readonly log: GatewayLog;
  private readonly budgets = new Map<string, RepeatBudget>();
  private readonly flows = new Set<RequestFlow>();
  private readonly forecast = PlaceForecast.create(systemClock);
  private readonly demand = DemandMeter.create(systemClock);
  private readonly containment: Containment;
  private readonly checkTimer: NodeJS.Timeout;
  /** When requests were last looked at, or should have been. */
  private checkedAt: number;
  private isLookLeftOut = false;
  private seeds: readonly string[];
  private controlAddresses: readonly string[];
  private listener: HttpListener | undefined;
  private openRequests = 0;
  /** Answers of requests that were admitted, until their last byte has left. */
  private readonly takenAnswers = new Set<CallerAnswer>();
  private readonly pressed = PressedModels.create(systemClock);
  private readonly signals: BackendSignals;
  /** Connections on which a request came before. */
  private readonly knownConnections = new WeakSet<Socket>();
  private readonly stop: GatewayStop;
  private hasServed = false;

  private constructor(private readonly settings: GatewaySettings) {
    const {gatewayId, zone, control, stopWithinMs} = settings;
    const {confirmationMs, changesWithinMs} = settings;
    const {clock, events} = this;
    this.stop = GatewayStop.create({
      gatewayId,
      clock,
      events,
      withinMs: stopWithinMs,
      honouredPart: settings.dialect.honouredPart,
    });
    this.seeds = control;
    this.controlAddresses = control;
    const incarnation = randomBytes(8).toString('hex');
    const lines = ThrottledLines.create(events, clock);
    const client = ControlClient.create({
      addresses: () => this.controlAddresses,
      tryTimeoutMs: CONTROL_TRY_MS,
      identity: {program: 'gateway', id: gatewayId, incarnation},
      onSearched: search => recordLeaderSearch(lines, gatewayId, search),
    });
    const tellNow = () => this.feed.tellNow();
    const source = {gatewayId, client, events, onNews: tellNow};
    this.signals = createBackendSignals(source);
    this.board = TargetBoard.create(
      zone,
      clock,
      Math.random,
      tellNow,
      this.signals.openness,
    );
    this.containment = Containment.create({
      witness: BreakWitness.create({clock, events}),
      calls: createSuspectCalls(gatewayId, client),
      onEnded: ended => this.board.recordEnded(ended),
    });
    this.feed = RulesFeed.create({
      gatewayId,
      client,
      // A key that was taken away while this machine was suspended must not be taken.
      clock: LeaseClock.create({
        steady: clock,
        wall: () => Date.now(),
        onPause: pause => {
          recordPause(events, 'control', gatewayId, pause);
          // Nothing is confirmed any more; what control says now is one round trip away.
          setImmediate(tellNow);
        },
      }),
      events,
      confirmationMs,
      changesWithinMs,
      collectNews: () => ({
        ...this.board.listNews(),
        pressed: this.pressed.list(),
        hasServed: this.hasServed,
        demand: this.demand.describe(),
      }),
      onRunning: (running, others) =>
        this.board.setRunningElsewhere(running, others),
      readSuspectsVersion: () => this.containment.version,
      onSuspects: news => this.containment.apply(news),
      limits: this.signals.limits,
      onTargets: targets => {
        this.board.setTargets(targets);
        this.signals.expire(name => this.board.has(name));
        this.origins.retain(this.board.listAddresses());
      },
      onControl: addresses => {
        this.controlAddresses = [...new Set([...addresses, ...this.seeds])];
      },
    });
    this.log = GatewayLog.create(events, this.feed);
    this.checkedAt = clock.now();
    this.checkTimer = setInterval(() => this.checkFlows(), CHECK_MS);
  }

  /**
   * A process that did not run for a while wakes with its timers, before it reads
   * what has come meanwhile: its own pause is not that of its backend servers.
   * Never two looks in a row are left out, so that a slow process judges, too.
   */
  private checkFlows(): void {
    const now = this.clock.now();
    const hasPaused = now - this.checkedAt > OWN_PAUSE_MS;
    this.checkedAt = now;
    this.isLookLeftOut = hasPaused && !this.isLookLeftOut;
    if (!this.isLookLeftOut) {
      this.flows.forEach(flow => flow.check(now));
    }
  }

  /**
   * Listens for callers and follows control.
   *
   * @throws TransportError when the address cannot be taken
   * @example
   * const gateway = await GatewayServer.create(settings);
   */
  static async create(settings: GatewaySettings): Promise<GatewayServer> {
    const gateway = new GatewayServer(settings);
    gateway.listener = await HttpListener.create({
      host: settings.host,
      port: settings.port,
      onRequest: (request, response) => void gateway.handle(request, response),
    });
    // The monotonic clock of a process begins with its start.
    gateway.stop.recordStarted(gateway.clock.now());
    return gateway;
  }

  /** The port for callers. */
  get port(): number {
    return this.listener?.port ?? 0;
  }

  /** True while new connections should come here. */
  get isReady(): boolean {
    const hasTargets = this.board.listAddresses().size > 0;
    return !this.stop.hasBegun && this.feed.isConfirmed() && hasTargets;
  }

  /** Takes other places to find control at, as the settings changed. */
  setControl(addresses: readonly string[]): void {
    this.seeds = addresses;
    this.controlAddresses = [
      ...new Set([...this.controlAddresses, ...addresses]),
    ];
  }

  /** Answers what comes until callers have noticed, then ends when what was taken is answered. */
  async drain(): Promise<void> {
    await this.stop.run({
      countTaken: () => this.takenAnswers.size,
      countOpen: () => this.openRequests,
      stopAccepting: () => this.listener?.stopAccepting(),
      giveUp: () => this.flows.forEach(flow => flow.abandon(STOPPED)),
    });
    await this.close();
  }

  /** Stops at once. */
  async close(): Promise<void> {
    clearInterval(this.checkTimer);
    this.flows.forEach(flow => flow.abandon(STOPPED));
    this.takenAnswers.forEach(taken => taken.breakOff());
    this.containment.close();
    this.signals.close();
    this.feed.close();
    await this.listener?.close();
    await this.origins.close();
  }

  private async handle(
    message: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const arrivedAt = this.clock.now();
    const {dialect} = this.settings;
    const answer = CallerAnswer.create(
      response,
      dialect.requestIdHeader,
      () => this.stop.hasBegun,
    );
    this.openRequests += 1;
    response.once('close', () => (this.openRequests -= 1));
    try {
      const request = dialect.readRequest(message);
      if (typeof request === 'string') {
        await readHttpBody(message, 0).catch(() => undefined);
        answer.sendOwn({status: 400, reason: request}, undefined);
        return;
      }
      await this.admit(message, request, answer, arrivedAt);
    } catch (error) {
      const isTooLarge = (error as Error).name === 'TooLarge';
      const status = isTooLarge ? 413 : 400;
      answer.sendOwn({status, reason: (error as Error).message}, undefined);
    }
  }

  private async admit(
    message: IncomingMessage,
    request: GatewayRequest,
    answer: CallerAnswer,
    arrivedAt: number,
  ): Promise<void> {
    const isOnNewConnection = !this.knownConnections.has(message.socket);
    this.knownConnections.add(message.socket);
    const limits = this.feed.index?.rules.limits;
    const maxBytes = limits?.maxBodyBytes ?? UNKNOWN_LIMIT_BYTES;
    const body = await readHttpBody(message, maxBytes);
    // After the body came, since the rules may have changed or grown old meanwhile.
    const {index} = this.feed;
    const admitted = decideAdmission({
      request,
      index,
      isConfirmed: this.feed.isConfirmed(),
      isCurrent: this.feed.isCurrent(),
      random: Math.random(),
    });
    if ('status' in admitted) {
      answer.sendOwn(admitted, request.id);
      this.log.recordRefusal(request, admitted);
      return;
    }
    if (answer.isGone) {
      // Its caller left while the body came; nothing would tell a flow so.
      return;
    }
    const {route, pool, workspace} = admitted;
    const tooLate = this.stop.admit({
      route,
      leftMs: this.computeLeftMs(request, route, arrivedAt),
      isOnNewConnection,
    });
    if (tooLate) {
      answer.sendOwn(tooLate, request.id);
      this.log.recordRefusal(request, tooLate);
      return;
    }
    this.hasServed = true;
    this.takenAnswers.add(answer);
    answer.watchEnd(() => this.takenAnswers.delete(answer));
    this.demand.recordArrival(request, pool.engine);
    const connections = pool.maxConnections / (this.feed.gateways + 1);
    const flow: {current?: RequestFlow} = {};
    flow.current = RequestFlow.create({
      request,
      identity: RequestIdentity.create({request, workspace, body}),
      body,
      route,
      pool,
      workspace,
      maxConnections: Math.max(1, Math.floor(connections)),
      arrivedAt,
      answer,
      origins: this.origins,
      board: this.board,
      budget: this.findBudget(pool.name),
      forecast: this.forecast,
      containment: this.containment,
      signals: this.signals,
      dialect: this.settings.dialect,
      clock: this.clock,
      onDone: result => {
        if (flow.current) {
          this.flows.delete(flow.current);
        }
        this.recordResult(request, route.name, result);
        this.demand.recordResult(request, pool.engine, result);
      },
    });
    if (!flow.current.isFinished) {
      this.flows.add(flow.current);
    }
  }

  /** What is left of the time for which a request may be held. */
  private computeLeftMs(
    {waitMs = Infinity}: GatewayRequest,
    {timeoutMs}: {timeoutMs: number},
    arrivedAt: number,
  ): number {
    return Math.min(waitMs, timeoutMs) - (this.clock.now() - arrivedAt);
  }

  private findBudget(pool: string): RepeatBudget {
    const known = this.budgets.get(pool);
    const budget =
      known ??
      RepeatBudget.create(
        this.settings.retries,
        this.clock,
        () => this.feed.gateways,
      );
    this.budgets.set(pool, budget);
    return budget;
  }

  private recordResult(
    request: GatewayRequest,
    route: string,
    result: FlowResult,
  ): void {
    const {outcome, tookMs} = result;
    if (outcome === 'answered') {
      this.stop.recordAnswered(route, tookMs);
    }
    const {model} = request;
    if (outcome === 'refused' && model !== undefined) {
      if (this.pressed.record(model)) {
        this.feed.tellNow();
      }
    }
    this.log.recordResult(request, route, result);
  }
}
