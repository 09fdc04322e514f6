/** Measures the demand of this gateway's callers for each model. */
import {Clock} from '../../common/clock';
import {EngineProfile} from '../../protocol/engine_profile';
import {ModelDemand} from '../../protocol/model_demand';
import {RequestResult} from '../request_result';
import {GatewayRequest} from '../gateway_request';

const MS_PER_SECOND = 1_000;
/**
 * Time constant of the exponential decay: a burst and its end show within two
 * seconds.
 */
const DECAY_MS = 2_000;
/**
 * Minimum age of the meter, as a few early arrivals would otherwise look like a
 * high rate.
 */
const MIN_AGE_MS = 500;
/** Weight of the newest response in the average length. */
const NEWEST_WEIGHT = 0.1;

interface DecayedArrivals {
  requests: number;
  promptTokens: number;
  at: number;
}

/** Counts all arriving requests for the models of the rules, including retries of refused ones. */
export class DemandMeter {
  private readonly recent = new Map<string, DecayedArrivals>();
  private readonly answerTokens = new Map<string, number>();
  private readonly startedAt: number;

  private constructor(private readonly clock: Clock) {
    this.startedAt = clock.now();
  }

  /**
   * Creates a meter without measurements.
   *
   * @example
   * const meter = DemandMeter.create(clock);
   */
  static create(clock: Clock): DemandMeter {
    return new DemandMeter(clock);
  }

  recordArrival(
    {model, promptTokens}: Pick<GatewayRequest, 'model' | 'promptTokens'>,
    engine: EngineProfile | undefined,
  ): void {
    // Callers may name any number of models that do not exist.
    if (model !== undefined && isKnown(model, engine)) {
      const recent = this.computeDecayed(model);
      recent.requests += 1;
      recent.promptTokens += promptTokens;
      this.recent.set(model, recent);
    }
  }

  /** Records the length of a complete response. */
  recordResult(
    {model}: Pick<GatewayRequest, 'model'>,
    engine: EngineProfile | undefined,
    {outcome, events}: Pick<RequestResult, 'outcome' | 'events'>,
  ): void {
    if (!engine || model === undefined || outcome !== 'answered') {
      return;
    }
    if (!isKnown(model, engine)) {
      return;
    }
    const tokens = events * engine.stepsPerEvent;
    const average = this.answerTokens.get(model) ?? tokens;
    this.answerTokens.set(model, average + (tokens - average) * NEWEST_WEIGHT);
  }

  /** Returns the current demand by model. */
  describe(): Record<string, ModelDemand> {
    const ageMs = Math.max(this.clock.now() - this.startedAt, MIN_AGE_MS);
    const seconds =
      (DECAY_MS * (1 - Math.exp(-ageMs / DECAY_MS))) / MS_PER_SECOND;
    const models = [...this.recent.keys()].map(model => {
      const {requests, promptTokens} = this.computeDecayed(model);
      const requestsPerSecond = requests / seconds;
      const demand = {
        requestsPerSecond,
        promptTokensPerSecond: promptTokens / seconds,
        answerTokensPerSecond:
          requestsPerSecond * (this.answerTokens.get(model) ?? 0),
      };
      return [model, demand] as const;
    });
    return Object.fromEntries(models);
  }

  /** Returns the recent arrivals, decayed to the current time. */
  private computeDecayed(model: string): DecayedArrivals {
    const now = this.clock.now();
    const {requests, promptTokens, at} = this.recent.get(model) ?? {
      requests: 0,
      promptTokens: 0,
      at: now,
    };
    const decay = Math.exp((at - now) / DECAY_MS);
    return {
      requests: requests * decay,
      promptTokens: promptTokens * decay,
      at: now,
    };
  }
}

function isKnown(model: string, engine: EngineProfile | undefined): boolean {
  return engine?.models.some(({name}) => name === model) ?? false;
}
