import {EngineProfile} from '../../protocol/engine_profile';

const MS_PER_SECOND = 1_000;
/** A request arrives in the middle of a pass on average. */
const RESIDUAL_PASS = 0.5;

/** An engine and the work that is ahead of a new request there. */
interface EngineLoad {
  readonly engine: EngineProfile;
  readonly model: string | undefined;
  /** Requests that run or wait at the engine, from all gateways. */
  readonly running: number;
  /** Prompt tokens that wait for prefill, those of the new request included. */
  readonly waitingTokens: number;
}

/**
 * Estimates the time to the first event of a request that is sent to an engine now.
 *
 * The request waits for the end of the current pass; its prompt is then read in the
 * following passes, each of which also decodes for the running requests. Where all slots
 * are taken, it waits one pass for each request that has to end first: answers have about
 * as many events as an engine has slots, so about one of them ends in each pass.
 *
 * @returns milliseconds
 * @example
 * const firstEventMs = estimateFirstEventMs({engine, model: 'b', running: 12, waitingTokens: 800});
 */
export function estimateFirstEventMs({
  engine,
  model,
  running,
  waitingTokens,
}: EngineLoad): number {
  const pace = engine.models.find(({name}) => name === model)?.pace ?? 1;
  const decoding = Math.min(running, engine.slots);
  const stepMs = engine.stepMs + decoding * engine.stepMsPerRequest;
  const steps = running > 0 ? engine.stepsPerEvent : 1;
  const passMs = steps * stepMs;
  const tokensPerPass = engine.promptChunkTokens * steps;
  const prefillPasses = Math.max(1, Math.ceil(waitingTokens / tokensPerPass));
  const queuedPasses = Math.max(0, running + 1 - engine.slots);
  const residualMs = running > 0 ? RESIDUAL_PASS * passMs : 0;
  const prefillMs =
    (waitingTokens / engine.promptTokensPerSecond) * MS_PER_SECOND;
  const passes = prefillPasses + queuedPasses;
  return pace * (residualMs + passes * passMs + prefillMs);
}
