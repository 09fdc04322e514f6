import {EnginePolicy} from '../../src/coordination/groups/engine_policy';
import {EngineAction} from '../../src/coordination/groups/engine_action';
import {EnginePlanInput} from '../../src/coordination/groups/engine_plan_input';
import {EngineProfile} from '../../src/protocol/engine_profile';
import {ModelDemand} from '../../src/protocol/model_demand';
import {FleetEvent} from './fleet_event';

/** Configuration, demand and events of an `EngineFleet` simulation. */
export interface EngineFleetOptions {
  readonly profile: EngineProfile;
  /** Hosts of each domain at the start. */
  readonly domains: Readonly<Record<string, number>>;
  /** The demand for each model, in fully loaded groups; it may be fractional. */
  readonly demand: Readonly<Record<string, number>>;
  /** A period of higher demand, with the factor for each model. */
  readonly burst?: {
    readonly fromMs: number;
    readonly untilMs: number;
    readonly factors: Readonly<Record<string, number>>;
  };
  /** Whether the split of the hosts adapts to the demand; true by default. */
  readonly followsDemand?: boolean;
  /** Demand as gateways measure it, at a time of the simulation; by default it follows from `demand`. */
  readonly measureDemand?: (now: number) => Record<string, ModelDemand>;
  /** Weight of a request by model; absent if all requests are equally urgent. */
  readonly weights?: ReadonlyMap<string, number>;
  readonly events: readonly FleetEvent[];
  readonly lengthMs: number;
  /** Uniform in [0, 1), seeded. */
  readonly random: () => number;
  readonly policy?: EnginePolicy;
  /** Called with each plan, those before the first event included. */
  readonly onPlan?: (
    input: EnginePlanInput,
    actions: readonly EngineAction[],
  ) => void;
}
