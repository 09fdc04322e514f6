import {EngineProfile} from '../../protocol/engine_profile';

const MS_PER_SECOND = 1_000;

/** The size of a request and the engine that runs it. */
interface RequestWorkInput {
  readonly engine: EngineProfile;
  readonly model: string | undefined;
  readonly promptTokens: number;
  /** Tokens of the answer, as expected from measured answers. */
  readonly answerTokens: number;
}

/**
 * Estimates the engine time that a request takes: reading its prompt, and its
 * part of the decode steps in full batches.
 *
 * @returns milliseconds of one engine
 * @example
 * const workMs = estimateRequestWork({engine, model, promptTokens: 500, answerTokens: 92});
 */
export function estimateRequestWork(input: RequestWorkInput): number {
  const {engine, model, promptTokens, answerTokens} = input;
  const pace = engine.models.find(({name}) => name === model)?.pace ?? 1;
  const promptMs =
    (promptTokens / engine.promptTokensPerSecond) * MS_PER_SECOND;
  const tokenMs = engine.stepMs / engine.slots + engine.stepMsPerRequest;
  return pace * (promptMs + answerTokens * tokenMs);
}
