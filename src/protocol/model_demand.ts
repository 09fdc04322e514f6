/** What callers ask of one model, as gateways measure it. */
import {z} from 'zod';

const PerSecond = z.number().nonnegative();

export const ModelDemand = z.object({
  requestsPerSecond: PerSecond,
  promptTokensPerSecond: PerSecond,
  /** Tokens that the answers to these requests will have, by the length of answers lately. */
  answerTokensPerSecond: PerSecond,
});
export type ModelDemand = z.infer<typeof ModelDemand>;
