import {EngineFleetOptions} from './engine_fleet_options';

/**
 * Computes the demand for each model in groups at a time of the simulation.
 *
 * @example
 * const demand = computeGroupDemand(options, 6_000);
 */
export function computeGroupDemand(
  {profile, demand, burst}: EngineFleetOptions,
  now: number,
): Map<string, number> {
  const isBurst = burst && now >= burst.fromMs && now < burst.untilMs;
  return new Map(
    profile.models.map(({name}) => {
      const factor = isBurst ? (burst.factors[name] ?? 1) : 1;
      return [name, (demand[name] ?? 1) * factor];
    }),
  );
}
