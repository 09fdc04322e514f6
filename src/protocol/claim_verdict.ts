import {z} from 'zod';
import {RequestOutcome} from './request_outcome';

/** The answer to a claim on an idempotency key, by which a request runs at most once. */
export const ClaimVerdict = z.discriminatedUnion('status', [
  z.object({status: z.literal('granted')}),
  z.object({
    status: z.literal('in-progress'),
    attemptId: z.string(),
    hostId: z.string(),
    incarnation: z.string(),
    address: z.string(),
  }),
  z.object({
    status: z.literal('ended'),
    attemptId: z.string(),
    outcome: RequestOutcome,
  }),
  z.object({status: z.literal('key-reused')}),
]);
export type ClaimVerdict = z.infer<typeof ClaimVerdict>;
