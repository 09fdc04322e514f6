/** Graceful shutdown of a gateway: which requests it still admits, and when refused callers should retry. */
import {Clock} from '../common/clock';
import {EventRing} from '../common/event_ring';
import {runGracefulShutdown} from '../common/run_graceful_shutdown';
import {ShutdownSchedule} from '../common/shutdown_schedule';
import {SlidingMaximum} from './scheduling/sliding_maximum';
import {Refusal} from './refusal';

/** Retry delay while another gateway can serve the request: the time to open a new connection. */
const RECONNECT_DELAY_MS = 20;

interface GatewayShutdownOptions {
  readonly gatewayId: string;
  readonly clock: Clock;
  readonly events: EventRing;
  /** From the signal until the process is killed, in milliseconds. */
  readonly timeoutMs: number;
  /** Fraction of a caller's remaining time up to which it honors a retry delay. */
  readonly maxRetryAfterFraction: number;
}

/** A request that arrived, as far as its admission during shutdown depends on it. */
interface RequestDuringStop {
  readonly route: {
    readonly name: string;
    readonly kind: 'safe' | 'unsafe' | 'stream';
    readonly objectiveMs: number;
    readonly isResumable: boolean;
  };
  /** How much longer its caller waits, in milliseconds. */
  readonly leftMs: number;
  /** It is the first request on its connection. */
  readonly isOnNewConnection: boolean;
}

/** Runs the shutdown and admits or refuses the requests that arrive meanwhile. */
export class GatewayShutdown {
  private readonly schedule: ShutdownSchedule;
  private readonly longestTimes: SlidingMaximum;
  /** From the start of this process until it listened, in milliseconds. */
  private startupMs = 0;
  private admittedDuringStop = 0;
  private refusedDuringStop = 0;

  private constructor(private readonly options: GatewayShutdownOptions) {
    const {timeoutMs, clock} = options;
    this.schedule = ShutdownSchedule.create({timeoutMs});
    this.longestTimes = SlidingMaximum.create(clock);
  }

  /**
   * Creates the shutdown of a gateway that has not been told to stop.
   *
   * @example
   * const shutdown = GatewayShutdown.create({gatewayId, clock, events, timeoutMs: 8000, maxRetryAfterFraction: 1 / 3});
   */
  static create(options: GatewayShutdownOptions): GatewayShutdown {
    return new GatewayShutdown(options);
  }

  get hasStarted(): boolean {
    return this.schedule.hasStarted;
  }

  /** Records when the gateway began to listen, in milliseconds after its process started. */
  recordStarted(sinceStartMs: number): void {
    this.startupMs = sinceStartMs;
  }

  /** Records how long a request took that got a complete response. */
  recordAnswered(route: string, tookMs: number): void {
    this.longestTimes.record(route, tookMs);
  }

  /** Returns a refusal for a request that this gateway could not finish before it stops. */
  admit(request: RequestDuringStop): Refusal | undefined {
    const {schedule} = this;
    if (!schedule.hasStarted) {
      return undefined;
    }
    const neededMs = this.findNeededMs(request);
    if (schedule.canAccept(this.options.clock.now(), neededMs)) {
      this.admittedDuringStop += 1;
      return undefined;
    }
    this.refusedDuringStop += 1;
    const retryAfterMs = this.computeRetryAfterMs(request);
    return {status: 503, reason: 'this gateway stops', retryAfterMs};
  }

  /**
   * Serves requests until callers have noticed the shutdown, finishes those that were
   * admitted, and abandons what remains when the time is over.
   *
   * @param steps callbacks that carry out the shutdown of the server
   */
  async run(
    steps: Pick<
      Parameters<typeof runGracefulShutdown>[0],
      'countTaken' | 'countOpen' | 'stopAccepting' | 'giveUp'
    >,
  ): Promise<void> {
    const {clock} = this.options;
    this.record(
      'gateway-stopping',
      'no longer ready: callers should use other gateways',
      {
        underWay: steps.countTaken(),
      },
    );
    const end = await runGracefulShutdown({
      ...steps,
      clock,
      schedule: this.schedule,
    });
    const isComplete = end.givenUp === 0;
    this.record(
      'gateway-stopped',
      isComplete ? 'nothing is under way' : 'the time for the stop is over',
      {
        givenUp: end.givenUp,
        takenSinceStop: this.admittedDuringStop,
        refusedSinceStop: this.refusedDuringStop,
      },
    );
  }

  /**
   * A new connection that arrives after all callers could notice the shutdown means
   * that few other gateways are ready, so its caller should wait until gateways have
   * finished their requests and restarted. All others can use another gateway now.
   */
  private computeRetryAfterMs(request: RequestDuringStop): number {
    const isNoticePeriodOver = this.schedule.isNoticePeriodOver(
      this.options.clock.now(),
    );
    const hasNoAlternative = isNoticePeriodOver && request.isOnNewConnection;
    const restartedInMs = this.findLongestMs(request) + this.startupMs;
    const delayMs = hasNoAlternative ? restartedInMs : RECONNECT_DELAY_MS;
    const maxMs = request.leftMs * this.options.maxRetryAfterFraction;
    return Math.max(RECONNECT_DELAY_MS, Math.min(delayMs, maxMs));
  }

  /**
   * Returns how much time a request must have left here. One that may not be repeated is
   * lost when it is broken off: an unsafe one needs all the time that it may take, and
   * so does a stream of a route without recent ones, whose objective ends with its first event.
   */
  private findNeededMs(request: RequestDuringStop): number {
    const {route, leftMs} = request;
    const isStream = route.kind === 'stream' && !route.isResumable;
    const isUnknown = this.longestTimes.find(route.name) === 0;
    const needsAll = route.kind === 'unsafe' || (isStream && isUnknown);
    return needsAll ? leftMs : this.findLongestMs(request);
  }

  /** Falls back to the objective of a route without recent requests. */
  private findLongestMs({route}: RequestDuringStop): number {
    return this.longestTimes.find(route.name) || route.objectiveMs;
  }

  private record(
    type: string,
    reason: string,
    details: Readonly<Record<string, number>>,
  ): void {
    const {events, gatewayId: id} = this.options;
    events.record({type, subject: 'process', id, reason, details});
  }
}
