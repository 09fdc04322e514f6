/** Forecasts what the measured demand of a pool's models makes of a number of groups. */
import {EngineProfile} from '../../protocol/engine_profile';
import {ModelDemand} from '../../protocol/model_demand';
import {computeBusyGroups} from './compute_busy_groups';
import {estimateLateFraction} from './estimate_late_fraction';

/** The longest running answer has about twice the mean length. */
const LONGEST_ANSWER_FACTOR = 2;

type Model = EngineProfile['models'][number];

/** The models of a pool and their demand. */
interface ForecastInput {
  readonly profile: EngineProfile;
  readonly demand: Readonly<Record<string, ModelDemand>>;
}

/** Late answers and drain times by model. */
export class DemandForecast {
  private constructor(private readonly input: ForecastInput) {}

  /**
   * Creates a forecast; undefined while the demand of a model is not measured.
   *
   * @example
   * const forecast = DemandForecast.create({profile, demand});
   */
  static create(input: ForecastInput): DemandForecast | undefined {
    const {profile, demand} = input;
    const isKnown = profile.models.every(
      ({name}) => (demand[name]?.answerTokensPerSecond ?? 0) > 0,
    );
    return isKnown ? new DemandForecast(input) : undefined;
  }

  /**
   * Estimates how many answers of a model are late or refused a second. Beyond the capacity
   * of its groups, each of them serves what it can and the rest is refused.
   *
   * @param groups a slow group counts in part
   */
  estimateLate(name: string, groups: number): number {
    const model = this.findModel(name);
    const demand = this.input.demand[name];
    if (!model || !demand) {
      return 0;
    }
    const shared = {profile: this.input.profile, model, demand};
    const needed = computeBusyGroups(shared);
    const isEnough = groups >= needed;
    const lateFraction = estimateLateFraction({
      ...shared,
      groups: isEnough ? groups : needed,
    });
    const servedFraction = isEnough ? 1 : groups / needed;
    return demand.requestsPerSecond * (1 - (1 - lateFraction) * servedFraction);
  }

  /** Estimates how many answers a second another group of a model brings in time. */
  estimateGain(name: string, groups: number): number {
    return (
      this.estimateLate(name, groups) - this.estimateLate(name, groups + 1)
    );
  }

  /** Estimates how long the running requests of a group take to end, in milliseconds. */
  estimateDrainMs(name: string): number {
    const {stepMs, stepMsPerRequest, slots} = this.input.profile;
    const {requestsPerSecond, answerTokensPerSecond} = this.input.demand[name];
    const pace = this.findModel(name)?.pace ?? 1;
    const tokens = answerTokensPerSecond / requestsPerSecond;
    const tokenMs = pace * (stepMs + (stepMsPerRequest * slots) / 2);
    return LONGEST_ANSWER_FACTOR * tokens * tokenMs;
  }

  private findModel(name: string): Model | undefined {
    return this.input.profile.models.find(model => model.name === name);
  }
}
