/** The coverage of a simulated fleet's demand over time. */
import {EngineProfile} from '../../src/protocol/engine_profile';
import {ModelDemand} from '../../src/protocol/model_demand';
import {estimateLateFraction} from '../../src/coordination/groups/estimate_late_fraction';
import {EngineFleetResult} from './engine_fleet_result';

const WINDOW_MS = 2_000;

/** One step of the simulation, by model. */
interface CoverageStep {
  /** Groups that serve, a slow one in part. */
  readonly supply: ReadonlyMap<string, number>;
  /** Groups that the demand keeps busy. */
  readonly groupDemand: ReadonlyMap<string, number>;
  /** The demand as gateways measure it. */
  readonly demand: Readonly<Record<string, ModelDemand>>;
}

/** Records each step and computes means. */
export class EngineFleetCoverage {
  private readonly covered: Array<ReadonlyMap<string, number>> = [];
  private readonly inTime: Array<ReadonlyMap<string, number>> = [];

  private constructor(
    private readonly profile: EngineProfile,
    private readonly stepMs: number,
  ) {}

  /**
   * Creates a record without steps.
   *
   * @example
   * const coverage = EngineFleetCoverage.create(profile, 40);
   */
  static create(profile: EngineProfile, stepMs: number): EngineFleetCoverage {
    return new EngineFleetCoverage(profile, stepMs);
  }

  /** Records one step and lists the models whose demand is not fully served. */
  add({supply, groupDemand, demand}: CoverageStep): string[] {
    const {profile} = this;
    const covered = new Map(
      profile.models.map(({name}) => [
        name,
        Math.min(1, (supply.get(name) ?? 0) / (groupDemand.get(name) ?? 1)),
      ]),
    );
    this.covered.push(covered);
    this.inTime.push(
      new Map(
        profile.models.map(model => {
          const groups = supply.get(model.name) ?? 0;
          const late = estimateLateFraction({
            profile,
            model,
            demand: demand[model.name],
            groups,
          });
          return [model.name, 1 - Math.min(1, late)];
        }),
      ),
    );
    return [...covered].flatMap(([name, part]) => (part < 1 ? [name] : []));
  }

  describe(): Pick<
    EngineFleetResult,
    'covered' | 'worst' | 'byModel' | 'inTime'
  > {
    const means = this.covered.map(parts => average([...parts.values()]));
    const steps = WINDOW_MS / this.stepMs;
    const windows = means
      .flatMap((_, at) =>
        at % steps === 0 ? [average(means.slice(at, at + steps))] : [],
      )
      .sort((left, right) => left - right);
    return {
      covered: average(means),
      worst: average(windows.slice(0, 2)),
      byModel: this.averageByModel(this.covered),
      inTime: this.averageByModel(this.inTime),
    };
  }

  private averageByModel(steps: ReadonlyArray<ReadonlyMap<string, number>>) {
    return Object.fromEntries(
      this.profile.models.map(({name}) => [
        name,
        average(steps.map(parts => parts.get(name) ?? 0)),
      ]),
    );
  }
}

function average(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}
