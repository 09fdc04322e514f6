import {EngineProfile} from '../../protocol/engine_profile';

const MS_PER_SECOND = 1_000;
/**
 * Allows for the network and for rounding on top of the longest engine step by
 * the profile.
 */
const SAFETY_FACTOR = 1.25;
/** Used if the engine or the model has no profile. */
const DEFAULT_MS = 1_000;

/**
 * Computes the longest pause between two events of a healthy stream: full
 * engine steps that also read as much of other prompts as they can.
 *
 * @param model the model that the stream comes from
 * @returns milliseconds
 * @example
 * const stallMs = computeStallTimeoutMs(pool.engine, request.model);
 */
export function computeStallTimeoutMs(
  engine: EngineProfile | undefined,
  model: string | undefined,
): number {
  const known = engine?.models.find(({name}) => name === model);
  if (!engine || !known) {
    return DEFAULT_MS;
  }
  const readMs =
    (engine.promptChunkTokens / engine.promptTokensPerSecond) * MS_PER_SECOND;
  const writeMs = engine.stepMs + (engine.slots / 2) * engine.stepMsPerRequest;
  return engine.stepsPerEvent * (readMs + writeMs) * known.pace * SAFETY_FACTOR;
}
