import {EnginePolicy} from '../../src/coordination/groups/engine_policy';
import {EngineProfile} from '../../src/protocol/engine_profile';
import {FleetEvent} from './fleet_event';

/** What a fleet of `EngineFleet` is and what happens to it. */
export interface EngineFleetOptions {
  readonly profile: EngineProfile;
  /** Hosts of each domain at the start. */
  readonly domains: Readonly<Record<string, number>>;
  /** Groups of each model that the whole demand takes; a fraction is a group that is not full. */
  readonly demand: Readonly<Record<string, number>>;
  /** While callers are more than usual: by what factor, by model. */
  readonly burst?: {
    readonly fromMs: number;
    readonly untilMs: number;
    readonly factors: Readonly<Record<string, number>>;
  };
  /** The split of the hosts follows the demand; it does by default. */
  readonly followsDemand?: boolean;
  readonly events: readonly FleetEvent[];
  readonly lengthMs: number;
  /** Uniform in [0, 1), seeded. */
  readonly random: () => number;
  readonly policy?: EnginePolicy;
}
