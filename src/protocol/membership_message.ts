/** Heartbeats between the first member of a group and the other members. */
import {z} from 'zod';

export const MembershipMessage = z.discriminatedUnion('type', [
  z.object({
    type: z.literal('heartbeat-ask'),
    groupId: z.string().max(128),
    epoch: z.int().positive(),
    nonce: z.int().nonnegative(),
  }),
  z.object({
    type: z.literal('heartbeat-answer'),
    hostId: z.string().max(128),
    groupId: z.string().max(128),
    epoch: z.int().positive(),
    nonce: z.int().nonnegative(),
    /** False when the host is in another group or its backend server is gone. */
    isMember: z.boolean(),
  }),
]);
export type MembershipMessage = z.infer<typeof MembershipMessage>;
