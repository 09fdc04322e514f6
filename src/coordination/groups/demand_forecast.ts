/** Forecasts what the measured demand of a pool's models makes of a number of groups. */
import {getOwn} from '../../common/get_own';
import {EngineProfile} from '../../protocol/engine_profile';
import {ModelDemand} from '../../protocol/model_demand';
import {computeBusyGroups} from './compute_busy_groups';
import {estimateLateFraction} from './estimate_late_fraction';

/** The longest running answer has about twice the mean length. */
const LONGEST_ANSWER_FACTOR = 2;

/** Part of the answers of an overloaded model that are in time: gateways refuse what cannot be, and a few miss it at the engine. */
const IN_TIME_IN_OVERLOAD = 0.8;

type Model = EngineProfile['models'][number];

/** The models of a pool and their demand. */
interface ForecastInput {
  readonly profile: EngineProfile;
  readonly demand: Readonly<Record<string, ModelDemand>>;
}

/** Busy groups, missed objectives and drain times by model. */
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
      ({name}) => (getOwn(demand, name)?.answerTokensPerSecond ?? 0) > 0,
    );
    return isKnown ? new DemandForecast(input) : undefined;
  }

  /**
   * Estimates the fraction of a model's requests that are not answered in time. An overloaded
   * model refuses the rest at once, so that most of what it serves is in time.
   *
   * @param groups a slow group counts in part
   */
  estimateMissed(name: string, groups: number): number {
    const {profile, demand} = this.input;
    const model = this.findModel(name);
    if (!model) {
      return 0;
    }
    const needed = this.computeBusyGroups(name);
    const late = estimateLateFraction({
      profile,
      model,
      demand: demand[name],
      groups,
    });
    const inTime = IN_TIME_IN_OVERLOAD * Math.min(1, groups / needed);
    return 1 - Math.max(1 - late, inTime);
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

  private computeBusyGroups(name: string): number {
    const {profile, demand} = this.input;
    const model = this.findModel(name);
    return model
      ? computeBusyGroups({profile, model, demand: demand[name]})
      : Number.EPSILON;
  }

  private findModel(name: string): Model | undefined {
    return this.input.profile.models.find(model => model.name === name);
  }
}
