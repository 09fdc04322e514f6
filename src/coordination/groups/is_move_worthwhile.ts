import {EnginePlanInput} from './engine_plan_input';

/** Groups of each model that serve; a slow one counts in part. */
type Capacity = ReadonlyMap<string, number>;

/** A move of hosts that ends groups which serve. */
interface Move {
  readonly before: Capacity;
  /** While the hosts are out of use. */
  readonly during: Capacity;
  readonly after: Capacity;
  /** How long that takes. */
  readonly movingMs: number;
  /** How long the new group can be expected to last. */
  readonly lifetimeMs: number;
}

/**
 * Checks whether a move brings more answers in time than it costs: the cost is what the
 * models miss while the hosts are out of use, the gain what they miss less for as long as
 * the new group can be expected to last. Each model's misses count as a part of its own
 * requests, so that no model pays for another with many more.
 *
 * @example
 * const isWorthwhile = isMoveWorthwhile({before, during, after, movingMs, lifetimeMs}, input);
 */
export function isMoveWorthwhile(
  {before, during, after, movingMs, lifetimeMs}: Move,
  {forecast, profile}: Pick<EnginePlanInput, 'forecast' | 'profile'>,
): boolean {
  if (!forecast) {
    return true;
  }
  const estimateMissed = (capacity: Capacity) =>
    profile.models.reduce(
      (sum, {name}) =>
        sum + forecast.estimateMissed(name, capacity.get(name) ?? 0),
      0,
    );
  const missed = estimateMissed(before);
  const costMs = (estimateMissed(during) - missed) * movingMs;
  const gainMs =
    (missed - estimateMissed(after)) * Math.max(0, lifetimeMs - movingMs);
  return gainMs > costMs;
}
