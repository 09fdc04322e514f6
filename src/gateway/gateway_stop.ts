/** The planned stop of a gateway: what it still takes, and what it tells the others. */
import {Clock} from '../common/clock';
import {EventRing} from '../common/event_ring';
import {runGracefulShutdown} from '../common/run_graceful_shutdown';
import {ShutdownSchedule} from '../common/shutdown_schedule';
import {LongestTimes} from './longest_times';
import {Refusal} from './refusal';

/** Another gateway can take it now: as soon as a caller can connect anew. */
const ELSEWHERE_MS = 20;

/** What a stop works with. */
interface GatewayStopOptions {
  readonly gatewayId: string;
  readonly clock: Clock;
  readonly events: EventRing;
  /** From the signal to the end by force, in milliseconds. */
  readonly withinMs: number;
  /** Part of what is left of its time within which a caller comes back as it is told. */
  readonly honouredPart: number;
}

/** What is known of a request that comes while the gateway stops. */
interface LateRequest {
  readonly route: {readonly name: string; readonly objectiveMs: number};
  /** How long its caller still waits for it, in milliseconds. */
  readonly leftMs: number;
  /** It is the first on its connection. */
  readonly isOnNewConnection: boolean;
}

/** Knows whether a gateway stops, and carries the stop out. */
export class GatewayStop {
  private readonly schedule: ShutdownSchedule;
  private readonly longest: LongestTimes;
  /** How long this process took from its start until it listened, in milliseconds. */
  private startMs = 0;
  private takenSince = 0;
  private refusedSince = 0;

  private constructor(private readonly options: GatewayStopOptions) {
    const {withinMs, clock} = options;
    this.schedule = ShutdownSchedule.create({timeoutMs: withinMs});
    this.longest = LongestTimes.create(clock);
  }

  /**
   * Creates the stop of a gateway that was not told to.
   *
   * @example
   * const stop = GatewayStop.create({gatewayId, clock, events, withinMs: 8000, honouredPart: 1 / 3});
   */
  static create(options: GatewayStopOptions): GatewayStop {
    return new GatewayStop(options);
  }

  get hasBegun(): boolean {
    return this.schedule.hasStarted;
  }

  /** Notes when the gateway first listened, in milliseconds after its process began. */
  recordStarted(sinceStartMs: number): void {
    this.startMs = sinceStartMs;
  }

  /** Notes how long a request took that got its whole answer. */
  recordAnswered(route: string, tookMs: number): void {
    this.longest.record(route, tookMs);
  }

  /** Takes a request, or tells why it is refused: it could not be finished here. */
  admit(request: LateRequest): Refusal | undefined {
    const {schedule} = this;
    if (!schedule.hasStarted) {
      return undefined;
    }
    const longestMs = this.findLongestMs(request);
    if (schedule.canAccept(this.options.clock.now(), longestMs)) {
      this.takenSince += 1;
      return undefined;
    }
    this.refusedSince += 1;
    const retryAfterMs = this.computeRetryAfterMs(request);
    return {status: 503, reason: 'this gateway stops', retryAfterMs};
  }

  /**
   * Answers what comes until callers have noticed, finishes what was taken, and
   * gives up what is left when the time is over.
   *
   * @param steps how to do that
   */
  async run(
    steps: Pick<
      Parameters<typeof runGracefulShutdown>[0],
      'countTaken' | 'countOpen' | 'stopAccepting' | 'giveUp'
    >,
  ): Promise<void> {
    const {clock} = this.options;
    this.record('gateway-stopping', 'callers go elsewhere from now on', {
      underWay: steps.countTaken(),
    });
    const end = await runGracefulShutdown({
      ...steps,
      clock,
      schedule: this.schedule,
    });
    const isWhole = end.givenUp === 0;
    this.record(
      'gateway-stopped',
      isWhole ? 'nothing is under way' : 'the time for the stop is over',
      {
        givenUp: end.givenUp,
        takenSinceStop: this.takenSince,
        refusedSinceStop: this.refusedSince,
      },
    );
  }

  /**
   * Whose first request on a connection comes when all have noticed was sent here
   * because few gateways are ready. They are back when they have finished what
   * they took and have started again. Everybody else finds another one now.
   */
  private computeRetryAfterMs(request: LateRequest): number {
    const isNoticed = this.schedule.isNoticePeriodOver(
      this.options.clock.now(),
    );
    const areFewReady = isNoticed && request.isOnNewConnection;
    const backMs = this.findLongestMs(request) + this.startMs;
    const wantedMs = areFewReady ? backMs : ELSEWHERE_MS;
    const mostMs = request.leftMs * this.options.honouredPart;
    return Math.max(ELSEWHERE_MS, Math.min(wantedMs, mostMs));
  }

  /** A route that was not seen lately may take as long as its answer should. */
  private findLongestMs({route}: LateRequest): number {
    return this.longest.find(route.name) || route.objectiveMs;
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
