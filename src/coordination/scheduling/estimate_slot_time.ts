import {EngineProfile} from '../../protocol/engine_profile';

interface SlotTimeInput {
  readonly engine: EngineProfile;
  readonly model: string | undefined;
  /** Mean tokens of the answers. */
  readonly answerTokens: number;
}

/**
 * Estimates by the engine's figures how long a request occupies a slot of a
 * full engine. Prompts are read in the same steps, so they are left out.
 *
 * @returns milliseconds
 * @example
 * const slotMs = estimateSlotTime({engine, model, answerTokens: 92});
 */
export function estimateSlotTime(input: SlotTimeInput): number {
  const {engine, model, answerTokens} = input;
  const pace = engine.models.find(({name}) => name === model)?.pace ?? 1;
  const stepMs = engine.stepMs + engine.slots * engine.stepMsPerRequest;
  return answerTokens * stepMs * pace;
}
