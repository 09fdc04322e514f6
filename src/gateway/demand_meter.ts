/** Measures what callers of this gateway ask of each model. */
import {Clock} from '../common/clock';
import {EngineProfile} from '../protocol/engine_profile';
import {ModelDemand} from '../protocol/model_demand';
import {RequestResult} from './request_result';
import {GatewayRequest} from './gateway_request';

const MS_PER_SECOND = 1_000;
/** Older arrivals count for less: a burst shows within two seconds, and its end as soon. */
const MEMORY_MS = 2_000;
/** A meter younger than this would take a few arrivals for a high rate. */
const LEAST_AGE_MS = 500;
/** Weight of the newest answer in the usual length. */
const NEWEST_WEIGHT = 0.1;

interface Recent {
  requests: number;
  promptTokens: number;
  at: number;
}

/** Counts every request that came, those among them that were refused and came back. */
export class DemandMeter {
  private readonly recent = new Map<string, Recent>();
  private readonly answerTokens = new Map<string, number>();
  private readonly startedAt: number;

  private constructor(private readonly clock: Clock) {
    this.startedAt = clock.now();
  }

  /**
   * Creates a meter that has seen nothing.
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
    if (engine && model !== undefined) {
      const recent = this.computeRecent(model);
      recent.requests += 1;
      recent.promptTokens += promptTokens;
      this.recent.set(model, recent);
    }
  }

  /** Notes the length of a whole answer. */
  recordResult(
    {model}: Pick<GatewayRequest, 'model'>,
    engine: EngineProfile | undefined,
    {outcome, events}: Pick<RequestResult, 'outcome' | 'events'>,
  ): void {
    if (!engine || model === undefined || outcome !== 'answered') {
      return;
    }
    const tokens = events * engine.stepsPerEvent;
    const usual = this.answerTokens.get(model) ?? tokens;
    this.answerTokens.set(model, usual + (tokens - usual) * NEWEST_WEIGHT);
  }

  /** The demand now, by model. */
  describe(): Record<string, ModelDemand> {
    const ageMs = Math.max(this.clock.now() - this.startedAt, LEAST_AGE_MS);
    const seconds =
      (MEMORY_MS * (1 - Math.exp(-ageMs / MEMORY_MS))) / MS_PER_SECOND;
    const models = [...this.recent.keys()].map(model => {
      const {requests, promptTokens} = this.computeRecent(model);
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

  /** What came lately, as much as it counts now. */
  private computeRecent(model: string): Recent {
    const now = this.clock.now();
    const {requests, promptTokens, at} = this.recent.get(model) ?? {
      requests: 0,
      promptTokens: 0,
      at: now,
    };
    const left = Math.exp((at - now) / MEMORY_MS);
    return {
      requests: requests * left,
      promptTokens: promptTokens * left,
      at: now,
    };
  }
}
