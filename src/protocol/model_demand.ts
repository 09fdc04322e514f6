/** Demand for one model, as measured by gateways. */
import {z} from 'zod';

const PerSecond = z.number().nonnegative();

export const ModelDemand = z.object({
  requestsPerSecond: PerSecond,
  promptTokensPerSecond: PerSecond,
  /** Expected output tokens of these requests, estimated from recent responses. */
  answerTokensPerSecond: PerSecond,
});
export type ModelDemand = z.infer<typeof ModelDemand>;
