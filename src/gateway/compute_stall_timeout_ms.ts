import {EngineProfile} from '../protocol/engine_profile';

const MS_PER_SECOND = 1_000;
/** Beyond the longest pass that the figures allow, for the network and rounding. */
const MARGIN = 1.25;
/** Where no figures are known. */
const DEFAULT_MS = 1_000;

/**
 * The longest pause between two events of a healthy stream: one full pass that
 * also reads as much of prompts as it can.
 *
 * @param model the model that the stream comes from
 * @returns milliseconds
 * @example
 * const stallMs = computeStallMs(pool.engine, request.model);
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
  return engine.stepsPerEvent * (readMs + writeMs) * known.pace * MARGIN;
}
