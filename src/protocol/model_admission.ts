/** Which requests for a model may begin at any gateway, as the leader derives it from the queues of all of them. */
import {z} from 'zod';

export const ModelAdmission = z.object({
  pool: z.string(),
  model: z.string(),
  /** Requests that are less urgent than this must wait; null while all may begin. */
  admittedUrgency: z.int().nonnegative().nullable(),
  /** Arrivals at all gateways together, by urgency, the most urgent first. */
  arrivals: z.array(
    z.object({
      urgency: z.int().nonnegative(),
      requestsPerSecond: z.number().nonnegative(),
    }),
  ),
});
export type ModelAdmission = z.infer<typeof ModelAdmission>;
